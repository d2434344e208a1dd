package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"springfield/internal/simwire"
)

const settingsText = `{"Balancers":1,"MyNumber":0,"NewKey":[1],
"Classes":[{"AimMs":500,"HardLimitMs":1000,"Repeat":"idempotent"}],
"Contracts":[{"UnitsPerS":5,"Burst":10}],"Extra":{"UsePeriodMs":1000},"Report":{"Columns":["cpu"]}}`

// startFrame returns the frame of a batch that starts instance 3.
func startFrame() []byte {
	fields := []byte{3, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0}
	fields = binary.LittleEndian.AppendUint32(fields, uint32(len(settingsText)))
	fields = append(fields, settingsText...)
	frame := binary.LittleEndian.AppendUint32(nil, uint32(12+5+len(fields)))
	frame = append(frame, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, byte(simwire.EventStart))
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(fields)))
	return append(frame, fields...)
}

// run must write one reply per batch and end without an error where the input ends. It must not take a truncated frame
// for that end.
func TestRunAnswersStartAndEndsWithInput(t *testing.T) {
	frame := startFrame()
	var output bytes.Buffer
	if err := run(bytes.NewReader(frame), &output); err != nil {
		t.Fatal(err)
	}
	const setTimer = 4 // code of the SetTimer action in the simulator's protocol
	if output.Len() != 8+25 || output.Bytes()[8] != setTimer {
		t.Errorf("want one timer, got %x", output.Bytes())
	}
	if err := run(bytes.NewReader(frame[:20]), &output); err == nil {
		t.Error("a truncated frame was accepted")
	}
}

// The error for a truncated frame must keep the decoder's error, so that a caller can identify the cause.
func TestRunReportsCauseOfShortInput(t *testing.T) {
	err := run(bytes.NewReader(startFrame()[:20]), io.Discard)
	var formatError *simwire.FormatError
	if !errors.As(err, &formatError) || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v", err)
	}
}
