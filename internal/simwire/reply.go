package simwire

import (
	"encoding/binary"
	"math"
)

// Lengths of fields in bytes.
const (
	idBytes     = 4 // instance, request, endpoint or peer
	attemptByte = 1
	boolByte    = 1
	timeBytes   = 8
	tokenBytes  = 8 // timer or counter
	amountBytes = 4
	countBytes  = 2 // before a text
)

// Reply gathers the actions that answer a batch. Its zero value is empty. Each action's first argument is the
// instance that takes it; times are in milliseconds.
type Reply struct {
	records []byte
	count   uint32
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	r.records = r.records[:0]
	r.count = 0
}

// AppendFrame appends the reply's frame to buffer and returns it.
func (r *Reply) AppendFrame(buffer []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, r.count)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(r.records)))
	return append(buffer, r.records...)
}

// Forward (Send) starts an attempt. At the clock time untilMs it is given up; 0 means the client's deadline.
func (r *Reply) Forward(instance, request, endpoint uint32, untilMs float64) {
	r.begin(actionForward, instance, 2*idBytes+timeBytes)
	r.uint32(request)
	r.uint32(endpoint)
	r.float64(untilMs)
}

// Reject (Refuse) ends a request and tells the client that a retry is harmless, and when to retry; 0: no advice.
func (r *Reply) Reject(instance, request uint32, retryAfterMs float64) {
	r.begin(actionReject, instance, idBytes+timeBytes)
	r.uint32(request)
	r.float64(retryAfterMs)
}

// Fail (ReportFailure) ends a request, which may have been executed.
func (r *Reply) Fail(instance, request uint32) {
	r.begin(actionFail, instance, idBytes)
	r.uint32(request)
}

// CancelAttempt (CallOff) cancels an attempt.
func (r *Reply) CancelAttempt(instance, request uint32, attempt uint8) {
	r.begin(actionCancelAttempt, instance, idBytes+attemptByte)
	r.uint32(request)
	r.uint8(attempt)
}

// StartTimer (SetTimer) asks for an EventTimerFired with the token.
func (r *Reply) StartTimer(instance uint32, afterMs float64, token uint64) {
	r.begin(actionStartTimer, instance, timeBytes+tokenBytes)
	r.float64(afterMs)
	r.uint64(token)
}

// HealthCheck (HealthCheck) sends a health check to an endpoint.
func (r *Reply) HealthCheck(instance, endpoint uint32) {
	r.begin(actionHealthCheck, instance, idBytes)
	r.uint32(endpoint)
}

// CloseIdle (HangUp) closes the instance's idle connections to an endpoint.
func (r *Reply) CloseIdle(instance, endpoint uint32) {
	r.begin(actionCloseIdle, instance, idBytes)
	r.uint32(endpoint)
}

// SendToPeer (Tell) sends a message to another instance, or to all with a peer of all bits set.
func (r *Reply) SendToPeer(instance, peer uint32, message []byte) {
	r.begin(actionSendToPeer, instance, idBytes+textBytes(len(message)))
	r.uint32(peer)
	r.text(message)
}

// Log (Emit) adds a line to the simulator's report.
func (r *Reply) Log(instance uint32, line string) {
	r.begin(actionLog, instance, textBytes(len(line)))
	r.text([]byte(line))
}

// ReportPanic (BailOut) tells that the policy has failed, which ends the simulated day.
func (r *Reply) ReportPanic(instance uint32, reason string) {
	r.begin(actionReportPanic, instance, textBytes(len(reason)))
	r.text([]byte(reason))
}

// WatchEndpoints (Track) subscribes to changes of the endpoint list, or ends the subscription.
func (r *Reply) WatchEndpoints(instance uint32, active bool) {
	r.begin(actionWatchEndpoints, instance, boolByte)
	r.bool(active)
}

// FetchEndpoints (Resolve) asks for the whole endpoint list once.
func (r *Reply) FetchEndpoints(instance uint32) {
	r.begin(actionFetchEndpoints, instance, 0)
}

// AddToCounter (Add) adds an amount to a counter, which a first call creates to live for expireMs.
func (r *Reply) AddToCounter(instance uint32, amount float32, expireMs float64, name uint64) {
	r.begin(actionAddToCounter, instance, amountBytes+timeBytes+tokenBytes)
	r.float32(amount)
	r.float64(expireMs)
	r.uint64(name)
}

// begin starts a record. The length is that of the fields after the instance.
func (r *Reply) begin(code actionCode, instance uint32, length int) {
	r.count++
	r.uint8(uint8(code))
	r.uint32(uint32(idBytes + length))
	r.uint32(instance)
}

func (r *Reply) uint8(v uint8) { r.records = append(r.records, v) }

func (r *Reply) uint32(v uint32) { r.records = binary.LittleEndian.AppendUint32(r.records, v) }

func (r *Reply) uint64(v uint64) { r.records = binary.LittleEndian.AppendUint64(r.records, v) }

func (r *Reply) float32(v float32) { r.uint32(math.Float32bits(v)) }

func (r *Reply) float64(v float64) { r.uint64(math.Float64bits(v)) }

func (r *Reply) bool(v bool) {
	if v {
		r.uint8(1)
	} else {
		r.uint8(0)
	}
}

// text appends a text with its length. What is longer than the wire allows is cut off.
func (r *Reply) text(text []byte) {
	text = text[:min(len(text), math.MaxUint16)]
	r.records = binary.LittleEndian.AppendUint16(r.records, uint16(len(text)))
	r.records = append(r.records, text...)
}

// textBytes is what a text of the given length takes in a record.
func textBytes(length int) int { return countBytes + min(length, math.MaxUint16) }
