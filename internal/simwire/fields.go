package simwire

import (
	"encoding/binary"
	"math"
)

// fieldReader reads the fields of a record in order. After its first error it returns only zero values.
type fieldReader struct {
	frame  []byte // frame up to the end of the record
	offset int    // offset of the next field in the frame
	err    *FormatError
}

// fail records an error unless an earlier one is already recorded.
func (r *fieldReader) fail(err *FormatError) {
	if r.err == nil {
		r.err = err
	}
}

// bytes returns the next n bytes, which are valid until the next frame is read. It returns nil on or after an error.
func (r *fieldReader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	remaining := len(r.frame) - r.offset
	if n < 0 || n > remaining {
		r.err = formatErrorf(r.offset, "record is %d bytes short", n-remaining)
		return nil
	}
	field := r.frame[r.offset : r.offset+n]
	r.offset += n
	return field
}

func (r *fieldReader) uint8() uint8 {
	if field := r.bytes(1); field != nil {
		return field[0]
	}
	return 0
}

func (r *fieldReader) uint16() uint16 {
	if field := r.bytes(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

func (r *fieldReader) uint32() uint32 {
	if field := r.bytes(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (r *fieldReader) uint64() uint64 {
	if field := r.bytes(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

func (r *fieldReader) bool() bool { return r.uint8() != 0 }

func (r *fieldReader) float32() float32 { return math.Float32frombits(r.uint32()) }

func (r *fieldReader) float64() float64 { return math.Float64frombits(r.uint64()) }

func (r *fieldReader) status() Status {
	offset := r.offset
	status := Status(r.uint8())
	if r.err == nil && !status.valid() {
		r.err = formatErrorf(offset, "unknown status %d", status)
	}
	return status
}

func (r *fieldReader) updateKind() UpdateKind {
	offset := r.offset
	kind := UpdateKind(r.uint8())
	if kind > UpdateFailed {
		r.fail(formatErrorf(offset, "unknown update kind %d", kind))
	}
	return kind
}

func (r *fieldReader) endpointState() EndpointState {
	offset := r.offset
	state := EndpointState(r.uint8())
	if state > EndpointDraining {
		r.fail(formatErrorf(offset, "unknown endpoint state %d", state))
	}
	return state
}

// loadReport reads a count and that number of values. It returns nil if the count is 0.
func (r *fieldReader) loadReport() []float32 {
	count := int(r.uint8())
	if count == 0 {
		return nil
	}
	values := make([]float32, count)
	for i := range values {
		values[i] = r.float32()
	}
	return values
}
