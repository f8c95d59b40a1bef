package answercheck

import (
	"bufio"
	"bytes"
)

// statusLineBytes is the length of a status line up to and including its status, as in "HTTP/1.1 200".
const statusLineBytes = len("HTTP/1.1 200")

// statusDigits is the number of digits of a status.
const statusDigits = 3

// PeekStatus returns the status of the message that comes next from the reader, without reading it. It is for HTTP
// libraries that do not report a status as it was sent. The error is BadStatus if no status line of HTTP/1 comes, and
// otherwise that of the reader.
func PeekStatus(reader *bufio.Reader) (status int, err error) {
	line, err := reader.Peek(statusLineBytes)
	if err != nil {
		return 0, err
	}
	if !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[statusLineBytes-statusDigits-1] != ' ' {
		return 0, BadStatus
	}
	for _, digit := range line[statusLineBytes-statusDigits:] {
		if digit < '0' || digit > '9' {
			return 0, BadStatus
		}
		status = 10*status + int(digit-'0')
	}
	return status, nil
}
