package simwire

import (
	"encoding/json"

	"springfield/internal/settings"
)

const (
	tableCount    = 16 // number of endpoint tables
	endpointBytes = 22 // encoded size of an endpoint table entry
)

// decodeEvent reads the fields of an event in protocol order. It leaves errors in r.err.
func (d *Decoder) decodeEvent(r *fieldReader, e *Event) {
	e.Instance = r.uint32()
	switch e.Code {
	case EventStart:
		decodeStart(r, e)
	case EventEndpointUpdate:
		d.decodeEndpointUpdate(r, e)
	case EventRequest:
		decodeRequest(r, e)
	case EventResponseStarted:
		decodeResponseStarted(r, e)
	case EventAttemptFinished:
		decodeAttemptFinished(r, e)
	case EventClientDisconnected:
		e.RequestID = r.uint32()
	case EventTimerFired:
		e.Token = r.uint64()
	case EventHealthCheckResult:
		decodeHealthCheckResult(r, e)
	case EventPeerMessage:
		e.Sender = r.uint32()
		length := int(r.uint16())
		e.Message = append([]byte(nil), r.bytes(length)...)
	case EventCounterResult:
		decodeCounterResult(r, e)
	case EventStop: // has no further fields
	}
}

func decodeStart(r *fieldReader, e *Event) {
	e.Seed = r.uint64()
	length := int(r.uint32())
	offset := r.offset
	text := r.bytes(length)
	if r.err != nil {
		return
	}
	e.Settings = new(settings.Settings)
	if err := json.Unmarshal(text, e.Settings); err != nil {
		r.fail(&FormatError{Offset: offset, Reason: "invalid settings", Err: err})
	}
}

func (d *Decoder) decodeEndpointUpdate(r *fieldReader, e *Event) {
	tableOffset := r.offset
	e.TableID = r.uint32()
	e.Version = r.uint64()
	e.UpdateKind = r.updateKind()
	if r.err != nil || e.UpdateKind == UpdateFailed {
		return
	}
	if e.TableID >= tableCount || d.tables[e.TableID] == nil {
		r.fail(formatErrorf(tableOffset, "unknown table %d", e.TableID))
		return
	}
	e.Endpoints = d.tables[e.TableID]
}

func decodeRequest(r *fieldReader, e *Event) {
	e.RequestID = r.uint32()
	e.Class = r.uint16()
	e.Plan = r.uint16()
	e.Customer = r.uint64()
	e.TimeLeftMs = r.float64()
	e.Units = r.float32()
	e.SetSize = r.float32()
	e.SetFirst = r.float32()
	e.Flags = r.uint16()
}

func decodeResponseStarted(r *fieldReader, e *Event) {
	e.RequestID = r.uint32()
	e.Attempt = r.uint8()
	e.EndpointID = r.uint32()
	e.LatencyMs = r.float64()
}

func decodeAttemptFinished(r *fieldReader, e *Event) {
	e.RequestID = r.uint32()
	e.Attempt = r.uint8()
	e.EndpointID = r.uint32()
	e.Status = r.status()
	e.LatencyMs = r.float64()
	e.RequestDone = r.bool()
	e.Usage = r.uint16()
	e.ActualUnits = r.uint16()
	e.LoadReport = r.loadReport()
}

func decodeHealthCheckResult(r *fieldReader, e *Event) {
	e.EndpointID = r.uint32()
	e.Status = r.status()
	e.LatencyMs = r.float64()
	e.LoadReport = r.loadReport()
}

func decodeCounterResult(r *fieldReader, e *Event) {
	e.CounterName = r.uint64()
	e.Status = r.status()
	e.CounterValue = r.float32()
	e.LatencyMs = r.float64()
}

// decodeEndpointTable reads an endpoint table, which replaces any earlier table with the same number.
func (d *Decoder) decodeEndpointTable(r *fieldReader) {
	idOffset := r.offset
	id := r.uint32()
	countOffset := r.offset
	count := r.uint32()
	if r.err != nil {
		return
	}
	if id >= tableCount {
		r.fail(formatErrorf(idOffset, "table number %d out of range", id))
		return
	}
	remaining := len(r.frame) - r.offset
	if int64(count)*endpointBytes != int64(remaining) {
		r.fail(formatErrorf(countOffset, "%d entries do not fill %d bytes", count, remaining))
		return
	}
	table := make([]Endpoint, count)
	for i := range table {
		decodeEndpoint(r, &table[i])
	}
	if r.err == nil {
		d.tables[id] = table
	}
}

func decodeEndpoint(r *fieldReader, endpoint *Endpoint) {
	endpoint.Cell = r.uint16()
	endpoint.Weight = r.float32()
	endpoint.State = r.endpointState()
	endpoint.Zone = r.uint8()
	endpoint.ID = r.uint32()
	endpoint.StartedAtMs = r.float64()
	endpoint.MachineType = r.uint16()
}
