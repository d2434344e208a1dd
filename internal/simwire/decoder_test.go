package simwire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"
)

// exampleBatch is the example batch of the protocol description.
const exampleBatch = `59000000 00000000206ec040 03000000
02 2a000000 03000000 c4913a5d 0000 0000 640ad2557c3bf091 0000000000006e40 00000040 00004040 0000803f 0100
06 0c000000 03000000 4d00000000000000
05 08000000 05000000 192b6f0e`

// fromHex decodes hexadecimal digits with white space between them.
func fromHex(t testing.TB, digits string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(digits), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frameFromHex decodes a frame of up to 259 bytes and fills in its length field.
func frameFromHex(t testing.TB, digits string) []byte {
	t.Helper()
	frame := fromHex(t, digits)
	frame[0] = byte(len(frame) - 4)
	return frame
}

// The decoder must read the example batch of the protocol description, and then report the end of the input.
func TestDecoderReadsExampleBatch(t *testing.T) {
	decoder := NewDecoder(bytes.NewReader(fromHex(t, exampleBatch)))
	batch, err := decoder.Next()
	if err != nil {
		t.Fatal(err)
	}
	if batch.ClockMs != 8412.25 || len(batch.Events) != 3 {
		t.Fatalf("clock %v, %d events", batch.ClockMs, len(batch.Events))
	}
	request, timer, disconnect := batch.Events[0], batch.Events[1], batch.Events[2]
	if request.Code != EventRequest || request.Instance != 3 || request.RequestID != 0x5d3a91c4 ||
		request.Customer != 0x91f03b7c55d20a64 || request.TimeLeftMs != 240 || request.Units != 2 ||
		request.SetSize != 3 || request.SetFirst != 1 || request.Flags != 1 {
		t.Errorf("request: %+v", request)
	}
	if timer.Token != 77 {
		t.Errorf("timer: %+v", timer)
	}
	if disconnect.Instance != 5 || disconnect.RequestID != 0x0e6f2b19 {
		t.Errorf("disconnected client: %+v", disconnect)
	}
	if _, err := decoder.Next(); err != io.EOF { //nolint:errorlint // Next must return io.EOF itself, unwrapped
		t.Errorf("after the last batch: %v", err)
	}
}

// Guards against fields that are read from the wrong offset or with the wrong width, with examples of the protocol
// description.
func TestDecoderReadsExampleAttemptEndpointsAndCounter(t *testing.T) {
	frame := frameFromHex(t, `00000000 00000000206ec040 04000000
04 24000000 03000000 c4913a5d 00 074a1203 0a 0000000000803240 01 5600 0300 02 00000c4352b81e3f
0b 34000000 00000000 02000000
  0000 0000803f 01 00 074a1203 0000000000000000 0000
  0000 0000c03f 01 01 f211902c 0000000000d4b740 0000
01 11000000 03000000 00000000 2900000000000000 02
0a 19000000 03000000 90f6890000000000 0a 00001842 3333333333330140`)
	batch, err := NewDecoder(bytes.NewReader(frame)).Next()
	if err != nil {
		t.Fatal(err)
	}
	attempt, update, counter := batch.Events[0], batch.Events[1], batch.Events[2]
	if attempt.Status != StatusOK || attempt.LatencyMs != 18.5 || !attempt.RequestDone || attempt.Usage != 86 ||
		attempt.ActualUnits != 3 || len(attempt.LoadReport) != 2 || attempt.LoadReport[0] != 140 {
		t.Errorf("finished attempt: %+v", attempt)
	}
	if update.Version != 41 || update.UpdateKind != UpdateCached || len(update.Endpoints) != 2 ||
		update.Endpoints[1].Weight != 1.5 || update.Endpoints[1].Zone != 1 ||
		update.Endpoints[1].StartedAtMs != 6100 || update.Endpoints[0].ID != 0x03124a07 {
		t.Errorf("endpoint update: %+v", update)
	}
	if counter.CounterName != 0x89f690 || counter.CounterValue != 38 || counter.LatencyMs != 2.15 {
		t.Errorf("counter: %+v", counter)
	}
}

// An update must get the entries that its table had at that point of the batch, even if a later record replaces the
// table.
func TestTableNumberCanBeReusedWithinBatch(t *testing.T) {
	table := func(endpoint string) string {
		return "0b 1e000000 00000000 01000000 0000 0000803f 01 00 " + endpoint + " 0000000000000000 0000 "
	}
	const update = "01 11000000 03000000 00000000 2900000000000000 01 "
	frame := frameFromHex(t,
		"00000000 00000000206ec040 04000000 "+table("01000000")+update+table("02000000")+update)
	batch, err := NewDecoder(bytes.NewReader(frame)).Next()
	if err != nil {
		t.Fatal(err)
	}
	if batch.Events[0].Endpoints[0].ID != 1 || batch.Events[1].Endpoints[0].ID != 2 {
		t.Errorf("an update uses a table that arrived after it, or misses the latest one: %+v", batch.Events)
	}
}
