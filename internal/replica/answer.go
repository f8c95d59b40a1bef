package replica

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/loadreport"
)

// countFault counts err if it is an answercheck.Fault, and reports whether it is one.
func (c *Client) countFault(err error) bool {
	var fault answercheck.Fault
	if !errors.As(err, &fault) {
		return false
	}
	c.invalid.count(fault)
	return true
}

// readHead reads the head of the answer to a call and skips interim answers (status 1xx). The error is an
// answercheck.Fault if a message came that is not the answer.
func (c *Client) readHead(conn *connection, call *Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	conn.limitedReader.N = int64(c.options.MaxHeadBytes)
	conn.answers.Begin()
	for interim := 0; ; interim++ {
		response, err := http.ReadResponse(conn.reader, request)
		switch {
		case conn.answers.Fault() != nil:
			return nil, conn.answers.Fault()
		case err != nil && conn.limitedReader.N <= 0:
			return nil, answercheck.Endless
		case err != nil:
			return nil, err
		}
		if answercheck.IsInterim(response.StatusCode, interim) {
			continue
		}
		conn.limitedReader.N = unlimited
		return response, c.checkAnswer(call, response)
	}
}

// checkAnswer returns nil if a message with this head is the answer to the call, and otherwise an answercheck.Fault.
func (c *Client) checkAnswer(call *Call, response *http.Response) error {
	names := &c.options.Names
	expected := answercheck.Expected{Signed: names.Signature != ""}
	if names.AttemptID != "" {
		expected.RequestID = call.AttemptID
	}
	return expected.Check(answercheck.Head{Status: response.StatusCode, RequestID: c.headerValue(response, names.AttemptID),
		Signature: c.headerValue(response, names.Signature), Unframed: isUnframed(response)})
}

// isUnframed reports whether the body of an answer has neither a length nor chunks.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// readRefusal returns the reason for which the replica did not run the request, or RefusedNone.
func (c *Client) readRefusal(response *http.Response) Refusal {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return RefusedWrongTarget
	}
	if name := c.options.Names.NotExecuted; name != "" && len(response.Header.Values(name)) > 0 {
		return RefusedFull
	}
	return RefusedNone
}

// headerValue returns the value of a header field, which is empty if the site has no name for the field.
func (c *Client) headerValue(response *http.Response, name string) string {
	if name == "" {
		return ""
	}
	return response.Header.Get(name)
}

// errCutDuringUpload means that the connection of an answer without a length ended before the request was sent whole. A
// reset that a write has met looks like a plain end to the read.
var errCutDuringUpload = fmt.Errorf("replica: the connection of an answer without a length ended while the request was being sent: %w", io.ErrUnexpectedEOF)

// deliver passes the answer to the sink as it arrives. It returns nil if the whole answer was passed. sent is the request.
func (c *Client) deliver(response *http.Response, load *loadreport.Report, sent *upload, sink Sink) error {
	head := c.buildHead(response)
	head.Load = load
	if err := sink.Head(head); err != nil {
		return err
	}
	buffer := buffers.Get().(*[bufferBytes]byte)
	defer buffers.Put(buffer)
	for total := int64(0); ; {
		n, err := response.Body.Read(buffer[:])
		if total += int64(n); response.ContentLength < 0 && total > c.options.MaxBodyBytes {
			return answercheck.Endless
		}
		if n > 0 {
			if refused := sink.Body(buffer[:n]); refused != nil {
				return refused
			}
		}
		if err == io.EOF && isUnframed(response) && !sent.awaitWhole() {
			return errCutDuringUpload
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *Client) buildHead(response *http.Response) Head {
	head := Head{Status: response.StatusCode, Length: response.ContentLength}
	for name, values := range response.Header {
		for _, value := range values {
			head.Header = append(head.Header, Header{Name: name, Value: value})
		}
	}
	head.Version, _ = strconv.ParseUint(c.headerValue(response, c.options.Names.Version), 10, 64)
	kind, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	head.Stream = strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
	return head
}

const bufferBytes = 8 << 10

var buffers = sync.Pool{New: func() any { return new([bufferBytes]byte) }}

const (
	// maxDiscardBytes bounds how much of a refusal's body is read so that the connection can be reused.
	maxDiscardBytes = 4 << 10
	// discardTimeout bounds how long that may take. The request does better to go elsewhere than to wait for more.
	discardTimeout = 50 * time.Millisecond
)

// discard reads the body of a refusal. It returns false if the body is too long, late or broke off.
func (c *connection) discard(body io.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err != nil || n > maxDiscardBytes {
		return false
	}
	return c.SetReadDeadline(time.Time{}) == nil
}
