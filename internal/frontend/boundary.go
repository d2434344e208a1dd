package frontend

// requestBoundary tracks where the current request on a connection ends. net/http reads through a buffer that may take
// in a part of the next request, and it does not report such bytes, so a connection with a request in that buffer would
// count as idle. With requestBoundary the connection withholds the bytes of the next request until the current one has
// been answered.
//
// If the end of a request is unknown, all bytes are passed on, and the connection closes after the response.
//
// It also looks for a Transfer-Encoding field, which net/http removes from the heads that it reports.
type requestBoundary struct {
	phase         readPhase
	headLength    int   // bytes of the head so far
	headLines     int   // line ends in the head so far
	lineLength    int   // length of the current line of the head, without CR and LF
	nameLength    int   // number of characters at the start of the line that are those of transferEncodingName
	sawLine       bool  // a non-empty line has been read
	bodyRemaining int64 // bytes of the body that have not been passed on yet

	hasTransferEncoding bool // the head has a Transfer-Encoding field
}

// transferEncodingName is the name of the field in lower case.
const transferEncodingName = "transfer-encoding"

// readPhase is the part of the current request that a connection has reached.
type readPhase uint8

const (
	phaseHead         readPhase = iota // the head is not complete
	phaseHeadComplete                  // the head is complete; beginBody has not been called
	phaseBody                          // the head is complete, the body is not
	phaseComplete                      // the request is complete
	phaseUnknown                       // the length of the body is unknown
)

// advance consumes bytes of the connection and returns how many of them belong to the current request. The result is
// at least 1 unless bytes is empty.
func (b *requestBoundary) advance(bytes []byte) int {
	switch b.phase {
	case phaseHeadComplete: // net/http reads on, so for net/http the head is incomplete
		*b = requestBoundary{
			headLength: b.headLength, headLines: b.headLines, hasTransferEncoding: b.hasTransferEncoding,
		}
		return b.advanceHead(bytes)
	case phaseHead:
		return b.advanceHead(bytes)
	case phaseBody:
		n := int(min(int64(len(bytes)), b.bodyRemaining))
		b.bodyRemaining -= int64(n)
		if b.bodyRemaining == 0 {
			b.phase = phaseComplete
		}
		return n
	default:
		return len(bytes)
	}
}

// advanceHead looks for the empty line that ends a head. Empty lines before the request line are skipped.
func (b *requestBoundary) advanceHead(bytes []byte) (n int) {
	defer func() { b.headLength += n }()
	for i, char := range bytes {
		switch {
		case char != '\n' && char != '\r':
			if b.nameLength == b.lineLength {
				b.matchFieldName(char)
			}
			b.lineLength++
		case char == '\n':
			b.headLines++
			if b.lineLength == 0 && b.sawLine {
				b.phase = phaseHeadComplete
				return i + 1
			}
			b.sawLine = b.sawLine || b.lineLength > 0
			b.lineLength, b.nameLength = 0, 0
		}
	}
	return len(bytes)
}

// matchFieldName compares the next character of a line with the name of the Transfer-Encoding field. The line has begun
// with the name so far. The request line has no name.
func (b *requestBoundary) matchFieldName(char byte) {
	switch {
	case !b.sawLine:
	case b.nameLength < len(transferEncodingName):
		if lowerCase(char) == transferEncodingName[b.nameLength] {
			b.nameLength++
		}
	case char == ':' || char == ' ' || char == '\t':
		b.hasTransferEncoding = true
	}
}

// lowerCase returns the lower case of an ASCII letter, and any other character unchanged.
func lowerCase(char byte) byte {
	if 'A' <= char && char <= 'Z' {
		return char + 'a' - 'A'
	}
	return char
}

// beginHead resets the state for the next request.
func (b *requestBoundary) beginHead() { *b = requestBoundary{} }

// beginBody sets the length of the body once net/http has parsed the head. A negative length means that it is unknown.
func (b *requestBoundary) beginBody(length int64) {
	b.bodyRemaining = length
	switch {
	case length < 0:
		b.phase = phaseUnknown
	case length == 0:
		b.phase = phaseComplete
	default:
		b.phase = phaseBody
	}
}
