package simwire

import (
	"encoding/binary"
	"math"
)

// The lengths of encoded fields, in bytes.
const (
	idBytes         = 4 // instance, request, endpoint or peer
	attemptBytes    = 1
	boolBytes       = 1
	timeBytes       = 8
	tokenBytes      = 8 // timer or counter
	amountBytes     = 4
	textLengthBytes = 2 // before a text
)

// Reply collects the actions that answer a batch. The zero value is an empty reply. The first argument of each action
// method is the instance that takes the action.
type Reply struct {
	records []byte
	count   uint32
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	r.records = r.records[:0]
	r.count = 0
}

// AppendFrame appends the encoded reply to buffer and returns the extended buffer.
func (r *Reply) AppendFrame(buffer []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, r.count)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(r.records)))
	return append(buffer, r.records...)
}

// Forward starts an attempt (protocol: Send), which is abandoned at the clock time giveUpAtMs; 0 selects the client's
// deadline.
func (r *Reply) Forward(instance, request, endpoint uint32, giveUpAtMs float64) {
	r.beginRecord(actionForward, instance, 2*idBytes+timeBytes)
	r.uint32(request)
	r.uint32(endpoint)
	r.float64(giveUpAtMs)
}

// Reject ends a request (protocol: Refuse) and informs the client that a retry is safe. The client should retry after
// retryAfterMs; 0 gives no advice on when to retry.
func (r *Reply) Reject(instance, request uint32, retryAfterMs float64) {
	r.beginRecord(actionReject, instance, idBytes+timeBytes)
	r.uint32(request)
	r.float64(retryAfterMs)
}

// Fail ends a request that may have been executed (protocol: ReportFailure).
func (r *Reply) Fail(instance, request uint32) {
	r.beginRecord(actionFail, instance, idBytes)
	r.uint32(request)
}

// CancelAttempt cancels an attempt (protocol: CallOff).
func (r *Reply) CancelAttempt(instance, request uint32, attempt uint8) {
	r.beginRecord(actionCancelAttempt, instance, idBytes+attemptBytes)
	r.uint32(request)
	r.uint8(attempt)
}

// StartTimer requests an EventTimerFired with the token after afterMs (protocol: SetTimer).
func (r *Reply) StartTimer(instance uint32, afterMs float64, token uint64) {
	r.beginRecord(actionStartTimer, instance, timeBytes+tokenBytes)
	r.float64(afterMs)
	r.uint64(token)
}

// HealthCheck sends a health check to an endpoint (protocol: HealthCheck).
func (r *Reply) HealthCheck(instance, endpoint uint32) {
	r.beginRecord(actionHealthCheck, instance, idBytes)
	r.uint32(endpoint)
}

// CloseIdle closes the instance's idle connections to an endpoint (protocol: HangUp).
func (r *Reply) CloseIdle(instance, endpoint uint32) {
	r.beginRecord(actionCloseIdle, instance, idBytes)
	r.uint32(endpoint)
}

// SendToPeer sends a message to another instance, or to all instances if all bits of peer are set (protocol: Tell).
func (r *Reply) SendToPeer(instance, peer uint32, message []byte) {
	r.beginRecord(actionSendToPeer, instance, idBytes+textBytes(len(message)))
	r.uint32(peer)
	r.text(message)
}

// Log adds a line to the simulator's report (protocol: Emit).
func (r *Reply) Log(instance uint32, line string) {
	r.beginRecord(actionLog, instance, textBytes(len(line)))
	r.text([]byte(line))
}

// ReportPanic reports a panic of the policy, which ends the simulation (protocol: BailOut).
func (r *Reply) ReportPanic(instance uint32, reason string) {
	r.beginRecord(actionReportPanic, instance, textBytes(len(reason)))
	r.text([]byte(reason))
}

// WatchEndpoints subscribes to changes of the endpoint list or ends the subscription (protocol: Track).
func (r *Reply) WatchEndpoints(instance uint32, active bool) {
	r.beginRecord(actionWatchEndpoints, instance, boolBytes)
	r.bool(active)
}

// FetchEndpoints requests the full endpoint list once (protocol: Resolve).
func (r *Reply) FetchEndpoints(instance uint32) {
	r.beginRecord(actionFetchEndpoints, instance, 0)
}

// AddToCounter adds an amount to a counter (protocol: Add). The first call creates the counter, which expires after
// expireMs.
func (r *Reply) AddToCounter(instance uint32, amount float32, expireMs float64, name uint64) {
	r.beginRecord(actionAddToCounter, instance, amountBytes+timeBytes+tokenBytes)
	r.float32(amount)
	r.float64(expireMs)
	r.uint64(name)
}

// beginRecord appends the header and the instance of a record. The length is that of the fields after the instance.
func (r *Reply) beginRecord(code actionCode, instance uint32, length int) {
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

// text appends a text with its length. It truncates a text that exceeds the 16-bit length field.
func (r *Reply) text(text []byte) {
	text = text[:min(len(text), math.MaxUint16)]
	r.records = binary.LittleEndian.AppendUint16(r.records, uint16(len(text)))
	r.records = append(r.records, text...)
}

// textBytes returns the encoded size of a text of the given length.
func textBytes(length int) int { return textLengthBytes + min(length, math.MaxUint16) }
