package simwire

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

// Malformed input must be reported with its reason. It must neither panic nor be decoded in part.
func TestMalformedInputIsFormatError(t *testing.T) {
	for name, c := range map[string]struct{ input, reason string }{
		"short length":      {"5900", "inside the length field"},
		"short frame":       {"59000000 00000000206ec040", "inside a frame"},
		"tiny frame":        {"04000000 00000000", "out of range"},
		"unknown code":      {"15000000 00000000206ec040 01000000 63 04000000 03000000", "unknown event code 99"},
		"short record":      {"15000000 00000000206ec040 01000000 05 04000000 03000000", "bytes short"},
		"record too long":   {"15000000 00000000206ec040 01000000 05 ff000000 03000000", "exceeds the frame"},
		"bytes left over":   {"16000000 00000000206ec040 01000000 09 05000000 03000000 00", "after the fields"},
		"missing record":    {"0c000000 00000000206ec040 01000000", "frame ends at record 0 of 1"},
		"after last record": {"0d000000 00000000206ec040 00000000 00", "after the last record"},
		"bad settings": {"23000000 00000000206ec040 01000000 00 12000000 03000000 0000000000000000 02000000 7b7b",
			"invalid settings"},
		"no such table": {"22000000 00000000206ec040 01000000 01 11000000 03000000 05000000 2900000000000000 02",
			"unknown table 5"},
		"table count": {"19000000 00000000206ec040 01000000 0b 08000000 00000000 09000000", "do not fill"},
	} {
		_, err := NewDecoder(bytes.NewReader(fromHex(t, c.input))).Next()
		var formatError *FormatError
		if !errors.As(err, &formatError) || !strings.Contains(err.Error(), c.reason) {
			t.Errorf("%s: got %v, want %q", name, err, c.reason)
		}
	}
}

// The offset of an error must be that of the invalid field, so that the field can be found in a recorded frame.
func TestFormatErrorHasOffsetOfInvalidField(t *testing.T) {
	for name, c := range map[string]struct {
		input  string
		offset int
	}{
		"short length": {"5900", 2},
		"short frame":  {"59000000 00000000206ec040", 12},
		"clock":        {"0c000000 000000000000f87f 00000000", 4},
		"event code":   {"15000000 00000000206ec040 01000000 63 04000000 03000000", 16},
		"short record": {"15000000 00000000206ec040 01000000 05 04000000 03000000", 25},
		"settings": {"23000000 00000000206ec040 01000000 00 12000000 03000000 0000000000000000 02000000 7b7b",
			37},
		"table": {"22000000 00000000206ec040 01000000 01 11000000 03000000 05000000 2900000000000000 02", 25},
		"update kind": {"22000000 00000000206ec040 01000000 01 11000000 03000000 05000000 2900000000000000 04",
			37},
		"status": {"2a000000 00000000206ec040 01000000 0a 19000000 03000000 90f6890000000000 0b 00001842 " +
			"3333333333330140", 33},
		"endpoint state": {"2f000000 00000000206ec040 01000000 0b 1e000000 00000000 01000000 " +
			"0000 0000803f 03 00 01000000 0000000000000000 0000", 35},
	} {
		_, err := NewDecoder(bytes.NewReader(fromHex(t, c.input))).Next()
		var formatError *FormatError
		if !errors.As(err, &formatError) || formatError.Offset != c.offset {
			t.Errorf("%s: got %v, want an error at offset %d", name, err, c.offset)
		}
	}
}

// A truncated frame must not be mistaken for a regular end of the input, or lost events would go unnoticed.
func TestTruncatedFrameIsNotEndOfInput(t *testing.T) {
	whole := fromHex(t, exampleBatch)
	for length := 1; length < len(whole); length++ {
		_, err := NewDecoder(bytes.NewReader(whole[:length])).Next()
		if errors.Is(err, io.EOF) || !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("frame cut to %d bytes: got %v, want io.ErrUnexpectedEOF", length, err)
		}
	}
}

// FuzzDecoder checks that any input results in batches, io.EOF or a FormatError, and never in a panic.
func FuzzDecoder(f *testing.F) {
	f.Add(fromHex(f, exampleBatch))
	f.Add(fromHex(f, "0c000000 00000000206ec040 00000000"))
	f.Fuzz(func(t *testing.T, input []byte) {
		decoder := NewDecoder(bytes.NewReader(input))
		for {
			_, err := decoder.Next()
			if err == io.EOF { //nolint:errorlint // Next must return io.EOF itself, unwrapped
				return
			}
			if err == nil {
				continue
			}
			var formatError *FormatError
			if !errors.As(err, &formatError) {
				t.Fatalf("not a FormatError: %v", err)
			}
			return
		}
	})
}
