package loopback

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"springfield/internal/emulator"
)

// Only faults that deliver the whole line may leave a readable list, and only those that end neither the connection nor
// the response may let the watch go on.
func TestListFaultsDamageTheLineAsDescribed(t *testing.T) {
	line, err := newListMessage(1, true, nil, nil, 0).encode()
	if err != nil {
		t.Fatal(err)
	}
	for kind := listFaultAbort; kind < listFaultKindCount; kind++ {
		world := &World{scheduler: emulator.NewWallScheduler(), ctx: context.Background()}
		w := &watch{agent: &agent{world: world}, damaged: true}
		goesOn := false
		server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, _ *http.Request) {
			goesOn = w.writeDamaged(response, line, listFault{kind: kind, position: len(line) / 2, stall: time.Millisecond})
		}))
		response, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		body, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close() // the body was read
		server.Close()            // waits for the handler
		var list listMessage
		readable := json.Unmarshal(body, &list) == nil
		whole := kind == listFaultSingleBytes || kind == listFaultStall
		if readable != whole || goesOn != whole || w.damaged == whole {
			t.Errorf("kind %d: readable %v, goes on %v, damaged %v; want %v: %q", kind, readable, goesOn, w.damaged, whole, body)
		}
		if (readErr != nil) != (kind == listFaultAbort) {
			t.Errorf("kind %d: the read ended with %v", kind, readErr)
		}
	}
}

// While lists are damaged, no gateway may count as notified of a change. Afterwards each must, and no rule may be
// broken.
func TestDamagedListsAreNotifiedAfterTheirFault(t *testing.T) {
	options, o := newOptions(t, newScenario(4*time.Second))
	w, err := Start(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	const share, length = 1, 1500 * time.Millisecond
	w.DamageLists(share, length)
	before := o.count("EndpointNotified")
	w.DrainRandomEndpoint(time.Minute, time.Minute)
	for delivered := false; !delivered; time.Sleep(time.Millisecond) {
		w.scheduler.Do(func() {
			version, _ := w.discovery.List()
			delivered = !slices.ContainsFunc(w.gateways, func(g *gateway) bool { return g.agent.version != version })
			if during := o.count("EndpointNotified"); during != before && w.aimed.listFaultShare > 0 {
				t.Errorf("%d notifications while lists were damaged", during-before)
				delivered = true
			}
		})
	}
	if o.summary, err = w.Drive(t.Context()); err != nil {
		t.Fatal(err)
	}
	o.checkRules(t)
	if after := o.count("EndpointNotified"); after < before+len(w.gateways) {
		t.Errorf("%d notifications after the fault, want at least %d", after-before, len(w.gateways))
	}
}
