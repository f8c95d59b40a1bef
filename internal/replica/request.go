package replica

import (
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tamarindring/tamarindring/internal/incarnation"
)

// buildRequestHead returns the head of a request, up to and including the empty line.
func (c *Client) buildRequestHead(call *Call) []byte {
	names := &c.options.Names
	head := make([]byte, 0, 1024)
	head = append(head, call.Method...)
	head = append(head, ' ')
	head = append(head, call.Path...)
	head = append(head, " HTTP/1.1\r\n"...)
	host := call.Host
	if host == "" {
		host = call.Address
	}
	head = appendField(head, "Host", host)
	for _, field := range call.Header {
		if names.IsReserved(field.Name) || (call.ResumeAfter >= 0 && strings.EqualFold(field.Name, lastEventID)) {
			continue
		}
		head = appendField(head, field.Name, field.Value)
	}
	head = appendField(head, names.AttemptID, call.AttemptID)
	head = appendField(head, names.Target, incarnation.ID(call.Instance))
	head = appendField(head, names.Tenant, call.Tenant)
	if call.Deadline > 0 {
		head = appendField(head, names.Deadline, strconv.FormatInt(max(1, call.Deadline.Milliseconds()), 10))
	}
	if call.Urgency >= 0 {
		head = appendField(head, names.Urgency, strconv.Itoa(call.Urgency))
	}
	if call.ExpectedVersion > 0 {
		head = appendField(head, names.ExpectedVersion, strconv.FormatUint(call.ExpectedVersion, 10))
	}
	if call.ResumeAfter >= 0 {
		head = appendField(head, lastEventID, strconv.FormatInt(call.ResumeAfter, 10))
	}
	if len(call.Body) > 0 || call.Method == "POST" || call.Method == "PUT" || call.Method == "PATCH" {
		head = appendField(head, "Content-Length", strconv.Itoa(len(call.Body)))
	}
	return append(head, "\r\n"...)
}

// appendField appends one header field. A field without a name is left out, as is one without a value, except Host.
func appendField(head []byte, name, value string) []byte {
	if name == "" || (value == "" && name != "Host") {
		return head
	}
	head = append(head, name...)
	head = append(head, ": "...)
	head = append(head, value...)
	return append(head, "\r\n"...)
}

// maxInlineBytes is the largest request that is written before its answer is read. The system's send buffer of a new or
// idle connection accepts that much without waiting for the replica.
const maxInlineBytes = 8 << 10

// upload tracks the sending of one request.
type upload struct {
	headBytes  int64
	total      int64 // bytes of head and body
	written    atomic.Int64
	done       atomic.Bool           // all bytes were written
	err        atomic.Pointer[error] // of the failed write
	answered   chan struct{}         // closed once the answer has begun, or none will come; nil for a short request
	writerDone chan struct{}         // closed once the writing goroutine has ended; nil for a short request
}

// send writes a request. A long request is written by a goroutine of its own while its answer is read, because a replica
// may answer before it has read all of the request. The goroutine calls taken, if it is not nil: see Call.OnReceived.
func (c *connection) send(head, body []byte, taken func()) *upload {
	state := &upload{headBytes: int64(len(head)), total: int64(len(head) + len(body))}
	if state.total <= maxInlineBytes {
		c.write(state, append(head, body...))
		return state
	}
	state.answered, state.writerDone = make(chan struct{}), make(chan struct{})
	c.setSlowReadingTolerated(true)
	go c.writeLong(state, head, body, taken)
	return state
}

// markAnswered records that the answer to the request has begun, or that none will come.
func (c *connection) markAnswered(state *upload) {
	if state.answered != nil {
		close(state.answered)
	}
}

func (c *connection) write(state *upload, data []byte) {
	n, err := c.Write(data)
	c.recordWrite(state, n, err)
}

// recordWrite records the result of one write.
func (c *connection) recordWrite(state *upload, bytes int, err error) {
	if state.written.Add(int64(bytes)) == state.total {
		state.done.Store(true)
	}
	if err != nil {
		state.err.Store(&err)
		// The answer, if there is one, may already be on its way. If the replica is gone, the read fails by itself.
		_ = c.SetReadDeadline(time.Now().Add(failedWriteWait))
	}
}

// failedWriteWait bounds the wait for an answer to a request of which not all bytes could be written.
const failedWriteWait = 200 * time.Millisecond

// isFinished reports whether all bytes of the request were written. In that case it waits until the writing goroutine no
// longer uses the connection, so that it may carry another request.
func (s *upload) isFinished() bool {
	if !s.done.Load() {
		return false
	}
	if s.writerDone != nil {
		<-s.writerDone // the goroutine ends soon, because the answer has begun
	}
	return true
}

// awaitWhole reports whether all bytes of the request were written without an error. The connection has ended, so that a
// write still under way returns soon; one that a peer holds up counts as failed after failedWriteWait.
func (s *upload) awaitWhole() bool {
	if s.writerDone != nil {
		select {
		case <-s.writerDone:
		case <-time.After(failedWriteWait):
		}
	}
	return s.done.Load() && s.err.Load() == nil
}

// isAnswered reports whether the answer to a long request has begun, or none will come.
func (s *upload) isAnswered() bool {
	select {
	case <-s.answered:
		return true
	default:
		return false
	}
}

// headUnsent reports whether the write failed before the whole head was handed to the system, so that no replica can
// have begun to run the request.
func (s *upload) headUnsent() bool { return s.err.Load() != nil && s.written.Load() < s.headBytes }

// writeError returns the error of the failed write, or nil.
func (s *upload) writeError() error {
	if err := s.err.Load(); err != nil {
		return *err
	}
	return nil
}
