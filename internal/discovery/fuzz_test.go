package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"springfield/internal/settings"
	"springfield/internal/testkit"
	"springfield/policy"
)

// firstChange is a valid change with one entry.
var firstChange = testkit.EndpointListJSON(42, false, testkit.EndpointLine("a", "127.0.0.1:1", "up", 5))

// FuzzEndpointList checks that no list causes a panic, that exactly the valid entries are kept, and that the IDs of the
// endpoints take no more memory than the list.
func FuzzEndpointList(f *testing.F) {
	f.Add([]byte(testkit.EndpointListJSON(41, true, testkit.EndpointLine("a", "127.0.0.1:1", "up", 0),
		testkit.EndpointLine("b", "127.0.0.1:2", "draining", 1))))
	f.Add([]byte(firstChange))
	f.Fuzz(func(t *testing.T, input []byte) {
		var list EndpointList
		if json.Unmarshal(input, &list) != nil || list.validate() != nil {
			return
		}
		d := newDecoder([]string{"a", "b"})
		now := clockReading{monotonic: time.Hour, wall: time.UnixMilli(0)} // earlier than any start time
		full := d.update(now, policy.UpdateFull, list)
		checkEntries(t, list, full)
		checkIDs(t, &d, len(list.Servers))
		delta := d.update(now, policy.UpdateDelta, list)
		checkEntries(t, list, delta)
		checkIDs(t, &d, len(list.Servers))
		for i := range full.Endpoints {
			if removed := full.Endpoints[i].State == policy.StateRemoved; !removed && isListedOnce(list, i) &&
				full.Endpoints[i] != delta.Endpoints[i] {
				t.Errorf("entry %d: %+v in the full list, %+v in the delta", i, full.Endpoints[i], delta.Endpoints[i])
			}
		}
		if d.update(now, policy.UpdateFull, EndpointList{}); len(d.ids.idByName)+len(d.ids.names) != 0 {
			t.Errorf("%d IDs are kept after an empty list", len(d.ids.idByName))
		}
	})
}

// isListedOnce reports whether the name of the valid entry with the given index occurs once and no entry is removed.
// Then IDs do not change.
func isListedOnce(list EndpointList, index int) bool {
	counts, names := map[string]int{}, []string(nil)
	for i := range list.Servers {
		if instance := &list.Servers[i]; instance.valid() {
			counts[instance.ID]++
			names = append(names, instance.ID)
			if instance.State == stateRemoved {
				return false
			}
		}
	}
	return counts[names[index]] == 1
}

// checkEntries checks that an update consists of the valid entries of a list, in order.
func checkEntries(t *testing.T, list EndpointList, update Update) {
	t.Helper()
	rest := update.Endpoints
	for _, instance := range list.Servers {
		if instance.ID == "" || instance.Addr == "" && instance.State != "removed" {
			continue
		}
		if len(rest) == 0 {
			t.Fatalf("entry %+v is missing", instance)
		}
		got := rest[0]
		rest = rest[1:]
		if got.Address != instance.Addr || got.Cell != instance.Cell || got.Weight != instance.Weight ||
			(got.State == policy.StateReady) != (instance.State == "up") ||
			(got.State == policy.StateRemoved) != (instance.State == "removed") ||
			got.StartedAt < 0 || (got.StartedAt > 0) != (instance.StartedMS > 0) {
			t.Errorf("entry %+v was converted to %+v", instance, got)
		}
	}
	if len(rest) > 0 {
		t.Errorf("update has %d excess entries", len(rest))
	}
}

// checkIDs checks that each name has an ID of its own, and that there are at most maxIDs.
func checkIDs(t *testing.T, d *decoder, maxIDs int) {
	t.Helper()
	if len(d.ids.idByName) != len(d.ids.names) || len(d.ids.idByName) > maxIDs {
		t.Errorf("%d names and %d IDs for %d entries", len(d.ids.idByName), len(d.ids.names), maxIDs)
	}
	for name, id := range d.ids.idByName {
		if d.ids.names[id] != name {
			t.Errorf("ID %d belongs to %q and to %q", id, name, d.ids.names[id])
		}
	}
}

// FuzzObjectReader checks that the reader holds at most the limit plus one line, that it loses no byte, and that it
// finds the end of each valid object, whether it is on one line or indented over several.
func FuzzObjectReader(f *testing.F) {
	f.Add([]byte(firstChange))
	f.Add([]byte("{\n\"version\": 1\n}\n{"))
	f.Fuzz(func(t *testing.T, input []byte) {
		const maxBytes = 256
		var object objectReader
		var pending []byte
		for line := range bytes.SplitSeq(input, []byte("\n")) {
			pending = append(append(pending, line...), '\n')
			ended := object.addLine(line, maxBytes)
			if len(object.text) > maxBytes+len(line)+1 {
				t.Errorf("%d bytes are held, which exceeds the limit", len(object.text))
			}
			if !ended {
				continue
			}
			if taken := object.take(); !bytes.Equal(taken, pending) {
				t.Errorf("took %q, want %q", taken, pending)
			}
			pending = nil
		}
		if object.empty() != (len(pending) == 0) {
			t.Errorf("empty returns %v with %q pending", object.empty(), pending)
		}
		if value := bytes.TrimSpace(input); bytes.HasPrefix(value, []byte("{")) && json.Valid(value) {
			checkObject(t, value)
		}
	})
}

// checkObject checks that a valid object is returned whole, in compact and in indented form.
func checkObject(t *testing.T, value []byte) {
	t.Helper()
	var compact, indented bytes.Buffer
	if json.Compact(&compact, value) != nil || json.Indent(&indented, value, "", "  ") != nil {
		t.Fatalf("%q is not valid", value)
	}
	for _, text := range [][]byte{compact.Bytes(), indented.Bytes()} {
		var object objectReader
		lines := bytes.Split(text, []byte("\n"))
		for i, line := range lines {
			if ended := object.addLine(line, maxListBytes); ended != (i == len(lines)-1) {
				t.Fatalf("%q: ended %v after line %d of %d", text, ended, i+1, len(lines))
			}
		}
		var again bytes.Buffer
		if err := json.Compact(&again, object.take()); err != nil || !bytes.Equal(again.Bytes(), compact.Bytes()) {
			t.Errorf("object %q was read as %q, error %v", text, again.Bytes(), err)
		}
	}
}

// countingSink counts updates and applies them at once.
type countingSink struct{ count int }

func (s *countingSink) PublishEndpoints(context.Context, Update) (<-chan struct{}, error) {
	s.count++
	applied := make(chan struct{})
	close(applied)
	return applied, nil
}

// FuzzWatch checks that no bytes on a watch cause a panic, that a valid change before them is published, and that a
// list remains current only if every change was read and published.
func FuzzWatch(f *testing.F) {
	f.Add([]byte("\n" + testkit.EndpointListJSON(43, false) + "\n"))
	f.Add([]byte("\n{\"version\":44,"))
	f.Fuzz(func(t *testing.T, input []byte) {
		sink := &countingSink{}
		client := NewClient(Options{Address: "127.0.0.1:1", Pacing: PacingFor(&settings.Settings{})}, sink)
		url := client.url
		silenceTimer := time.AfterFunc(time.Hour, func() {})
		defer silenceTimer.Stop()
		_ = client.readChanges(context.Background(), url, io.MultiReader(bytes.NewReader([]byte(firstChange+"\n")),
			bytes.NewReader(input)), silenceTimer)
		if sink.count < 1 {
			t.Fatal("the first change was not published")
		}
		if client.listURL == "" {
			return // the complete list is fetched next
		}
		changes := decodeChanges(t, input)
		if sink.count != 1+len(changes) {
			t.Errorf("got %d updates for %d changes", sink.count, 1+len(changes))
		}
		if n := len(changes); n > 0 && client.listVersion != changes[n-1].Version {
			t.Errorf("got version %d, want %d", client.listVersion, changes[n-1].Version)
		}
	})
}

// decodeChanges decodes a text that must consist only of changes.
func decodeChanges(t *testing.T, text []byte) []EndpointList {
	t.Helper()
	var changes []EndpointList
	for decoder := json.NewDecoder(bytes.NewReader(text)); ; {
		var change EndpointList
		if err := decoder.Decode(&change); errors.Is(err, io.EOF) {
			return changes
		} else if err != nil || change.Servers == nil {
			t.Fatalf("the list remains current after the invalid text %q: %v", text, err)
		}
		changes = append(changes, change)
	}
}
