package answercheck

// HeadScanner checks the bytes of an answer's head, and of the interim answers before it, as they arrive. HTTP libraries
// accept heads whose field names hold blanks, or join lines that begin with a blank to the line before, and differ in what
// they make of them: a length under a misspelled name is no length to one and a length to another. A message with such a
// head is no answer. The zero value is ready for the first byte of a message.
type HeadScanner struct {
	state  scanState
	offset int // bytes of the status line so far
	status int
	fault  Fault
}

// scanState is what the next byte of a head belongs to.
type scanState uint8

const (
	inStatusLine scanState = iota
	atLineStart            // of a field, or of the empty line that ends the head
	inName
	inValue
	afterReturn    // after the CR of a line
	afterEmptyLine // after the CR of the empty line
	scanEnded      // the final head has ended, or a fault was found
)

// Positions in a status line such as "HTTP/1.1 200 OK".
const (
	protocolPrefix  = "HTTP/1."
	versionPosition = len(protocolPrefix)
	statusPosition  = versionPosition + 2 // after the minor version and a blank
	statusEnd       = statusPosition + len("200")
)

// Begin makes the scanner ready for the first byte of the next message.
func (s *HeadScanner) Begin() { *s = HeadScanner{} }

// Scan checks the next bytes of the connection, and returns BadStatus or BadField if they can't be those of an answer.
// It ignores what follows the head of the final answer.
func (s *HeadScanner) Scan(data []byte) error {
	for _, next := range data {
		if s.state == scanEnded {
			break
		}
		s.scanByte(next)
	}
	if s.fault != 0 {
		return s.fault
	}
	return nil
}

// fail ends the scan with a fault.
func (s *HeadScanner) fail(fault Fault) { s.state, s.fault = scanEnded, fault }

func (s *HeadScanner) scanByte(next byte) {
	switch s.state {
	case inStatusLine:
		s.scanStatusLine(next)
	case atLineStart:
		s.scanLineStart(next)
	case inName:
		switch {
		case next == ':':
			s.state = inValue
		case !isTokenByte(next):
			s.fail(BadField)
		}
	case inValue:
		s.scanText(next)
	case afterReturn:
		if s.state = atLineStart; next != '\n' {
			s.fail(BadField)
		}
	case afterEmptyLine:
		if next != '\n' {
			s.fail(BadField)
			return
		}
		s.endHead()
	}
}

// scanStatusLine checks a byte of the status line.
func (s *HeadScanner) scanStatusLine(next byte) {
	position := s.offset
	s.offset++
	switch {
	case position < versionPosition:
		if next != protocolPrefix[position] {
			s.fail(BadStatus)
		}
	case position == versionPosition:
		if !isDigit(next) {
			s.fail(BadStatus)
		}
	case position == versionPosition+1:
		if next != ' ' {
			s.fail(BadStatus)
		}
	case position < statusEnd:
		s.scanStatus(next, position == statusEnd-1)
	case position == statusEnd && next != ' ' && next != '\r' && next != '\n':
		s.fail(BadStatus)
	default:
		s.scanText(next)
	}
}

// scanStatus checks a digit of the status. The status is that of a final or an interim answer.
func (s *HeadScanner) scanStatus(next byte, last bool) {
	if !isDigit(next) {
		s.fail(BadStatus)
		return
	}
	s.status = 10*s.status + int(next-'0')
	if last && !isFinal(s.status) && !IsInterim(s.status, 0) {
		s.fail(BadStatus)
	}
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// scanLineStart checks the first byte of a line after the status line.
func (s *HeadScanner) scanLineStart(next byte) {
	switch {
	case next == '\n':
		s.endHead()
	case next == '\r':
		s.state = afterEmptyLine
	case isTokenByte(next):
		s.state = inName
	default:
		s.fail(BadField)
	}
}

// scanText checks a byte of a reason phrase or a field's value.
func (s *HeadScanner) scanText(next byte) {
	switch {
	case next == '\n':
		s.state = atLineStart
	case next == '\r':
		s.state = afterReturn
	case isControlByte(next):
		s.fail(BadField)
	}
}

// endHead ends the scan after the final answer's head. Another head follows that of an interim answer.
func (s *HeadScanner) endHead() {
	if IsInterim(s.status, 0) {
		s.Begin()
		return
	}
	s.state = scanEnded
}
