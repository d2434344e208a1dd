package simwire

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"slices"
)

// The layout of a batch frame. The frame header holds the number of bytes after the length field, the clock and the
// number of records. Each record header holds the record's code and the length of its fields.
const (
	clockOffset       = 4
	countOffset       = 12
	batchHeaderBytes  = 16
	recordHeaderBytes = 5
	minEventBytes     = recordHeaderBytes + 4 // an event contains at least its instance

	maxFrameBytes  = 1 << 30 // maximum length that a frame may declare
	readChunkBytes = 1 << 20 // maximum number of bytes by which the buffer grows before they are read
)

// Decoder reads batches. It keeps endpoint tables across batches.
type Decoder struct {
	input  io.Reader
	frame  []byte                 // current frame, including its length field
	tables [tableCount][]Endpoint // endpoint tables by number; nil if not received yet
}

// NewDecoder returns a Decoder that reads from input.
func NewDecoder(input io.Reader) *Decoder { return &Decoder{input: input} }

// Next reads the next batch. It returns io.EOF if the input ends between two frames. All other errors are *FormatError.
func (d *Decoder) Next() (*Batch, error) {
	if err := d.readFrame(); err != nil {
		return nil, err
	}
	return d.decodeBatch()
}

// readFrame reads a frame into the buffer. The buffer grows only as bytes arrive, so that a declared length alone
// cannot allocate much memory.
func (d *Decoder) readFrame() error {
	d.frame = slices.Grow(d.frame[:0], clockOffset)[:clockOffset]
	if n, err := io.ReadFull(d.input, d.frame); err != nil {
		if n == 0 && errors.Is(err, io.EOF) {
			return io.EOF
		}
		return readError(n, "input ends inside the length field", err)
	}
	length := binary.LittleEndian.Uint32(d.frame)
	if length < batchHeaderBytes-clockOffset || length > maxFrameBytes {
		return formatErrorf(0, "frame length %d out of range", length)
	}
	for end := clockOffset + int(length); len(d.frame) < end; {
		start := len(d.frame)
		chunk := min(end-start, readChunkBytes)
		d.frame = slices.Grow(d.frame, chunk)[:start+chunk]
		if n, err := io.ReadFull(d.input, d.frame[start:]); err != nil {
			return readError(start+n, "input ends inside a frame", err)
		}
	}
	return nil
}

func readError(offset int, reason string, err error) *FormatError {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &FormatError{Offset: offset, Reason: reason, Err: err}
}

// decodeBatch decodes the frame in the buffer.
func (d *Decoder) decodeBatch() (*Batch, error) {
	clock := math.Float64frombits(binary.LittleEndian.Uint64(d.frame[clockOffset:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return nil, formatErrorf(clockOffset, "the clock is not a finite number")
	}
	count := int(binary.LittleEndian.Uint32(d.frame[countOffset:]))
	maxEvents := (len(d.frame) - batchHeaderBytes) / minEventBytes
	batch := &Batch{ClockMs: clock, Events: make([]Event, 0, min(count, maxEvents))}
	offset := batchHeaderBytes
	for i := range count {
		if len(d.frame)-offset < recordHeaderBytes {
			return nil, formatErrorf(offset, "frame ends at record %d of %d", i, count)
		}
		end, err := d.decodeRecord(batch, offset)
		if err != nil {
			return nil, err
		}
		offset = end
	}
	if offset != len(d.frame) {
		return nil, formatErrorf(offset, "%d bytes after the last record", len(d.frame)-offset)
	}
	return batch, nil
}

// decodeRecord decodes the record at offset, appends its event to the batch and returns the end of the record.
func (d *Decoder) decodeRecord(batch *Batch, offset int) (end int, err error) {
	code := EventCode(d.frame[offset])
	length := int(binary.LittleEndian.Uint32(d.frame[offset+1:]))
	start := offset + recordHeaderBytes
	if length > len(d.frame)-start {
		return 0, formatErrorf(offset+1, "record of %d bytes exceeds the frame", length)
	}
	end = start + length
	fields := fieldReader{frame: d.frame[:end], offset: start}
	switch {
	case code < recordEndpointTable:
		batch.Events = append(batch.Events, Event{Code: code})
		d.decodeEvent(&fields, &batch.Events[len(batch.Events)-1])
	case code == recordEndpointTable:
		d.decodeEndpointTable(&fields)
	default:
		return 0, formatErrorf(offset, "unknown event code %d", code)
	}
	if fields.err != nil {
		return 0, fields.err
	}
	if fields.offset != end {
		return 0, formatErrorf(fields.offset, "%d bytes after the fields of event %d", end-fields.offset, code)
	}
	return end, nil
}
