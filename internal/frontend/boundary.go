package frontend

// requestBoundary follows the bytes of a connection to tell where the present request ends. net/http reads through a
// buffer that may take in a part of the next request, and nothing tells that such bytes are there: a connection would
// count as idle with a request in the buffer. Here no byte is passed on before the request that it belongs to.
//
// Where the end of a request is uncertain all bytes are passed on; the connection closes after the response to such a
// request.
type requestBoundary struct {
	phase      readPhase
	lineLength int   // of the present line of the head, without its end
	anyLine    bool  // a line that is not empty has come
	bodyLeft   int64 // bytes of the body that have not been passed on
}

// readPhase is the part of a request that a connection is in.
type readPhase uint8

const (
	phaseHead     readPhase = iota // the head is not complete
	phaseHeadDone                  // the head is complete and has not been claimed
	phaseBody                      // bytes of the body are missing
	phaseComplete                  // the request is complete
	phaseUnknown                   // the request has no definite end
)

// advance returns how many of the bytes belong to the present request, at least one unless there are none.
func (b *requestBoundary) advance(bytes []byte) int {
	switch b.phase {
	case phaseHeadDone: // net/http takes the head for longer, and knows better
		b.beginHead()
		return b.advanceHead(bytes)
	case phaseHead:
		return b.advanceHead(bytes)
	case phaseBody:
		n := int(min(int64(len(bytes)), b.bodyLeft))
		b.bodyLeft -= int64(n)
		if b.bodyLeft == 0 {
			b.phase = phaseComplete
		}
		return n
	default:
		return len(bytes)
	}
}

// advanceHead looks for the empty line that ends a head. Empty lines before the first one do not.
func (b *requestBoundary) advanceHead(bytes []byte) int {
	for i, char := range bytes {
		switch {
		case char != '\n' && char != '\r':
			b.lineLength++
		case char == '\n':
			if b.lineLength == 0 && b.anyLine {
				b.phase = phaseHeadDone
				return i + 1
			}
			b.anyLine = b.anyLine || b.lineLength > 0
			b.lineLength = 0
		}
	}
	return len(bytes)
}

// beginHead begins the next request.
func (b *requestBoundary) beginHead() { *b = requestBoundary{} }

// beginBody tells the length of the body once the head is known; below zero it is not.
func (b *requestBoundary) beginBody(length int64) {
	b.bodyLeft = length
	switch {
	case length < 0:
		b.phase = phaseUnknown
	case length == 0:
		b.phase = phaseComplete
	default:
		b.phase = phaseBody
	}
}
