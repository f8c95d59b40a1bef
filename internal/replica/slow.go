package replica

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/tamarindring/tamarindring/internal/progress"
)

// Errors that end a long request while it is sent.
var (
	// ErrStalled ends a request that the replica has stopped reading.
	ErrStalled = errors.New("replica: the replica stopped reading the request")
	// ErrSilent ends a request of which the replica's machine acknowledges nothing.
	ErrSilent = errors.New("replica: the replica's machine is silent")
)

const (
	// minProgressBytes is how much of a long request a replica must read within stallTimeout. Replicas pause for some
	// seconds and continue. After a longer pause the request is better sent to another replica.
	minProgressBytes = 1 << 10
	stallTimeout     = 10 * time.Second
	// progressInterval is the interval at which the progress of a long request is checked. After the last byte was handed
	// to the system, the first check follows after firstCheckInterval if the next large request may wait for it, because
	// most requests are then acknowledged within a few milliseconds.
	progressInterval   = 250 * time.Millisecond
	firstCheckInterval = 4 * time.Millisecond
)

// sendState is the system's state of the bytes that were written to a connection.
type sendState struct {
	acknowledged uint64        // bytes that the peer acknowledged since the connection was opened
	pending      bool          // some bytes are not acknowledged
	inFlight     bool          // some of the unacknowledged bytes were sent, so the peer had buffer space for them
	silence      time.Duration // since the last acknowledgement
}

// longWrite writes a long request to a replica that may read it slowly. The system's user timeout also closes connections
// to a peer that acknowledges but has no buffer space. It is therefore switched off during the write, and longWrite
// distinguishes a peer without buffer space from a silent one.
type longWrite struct {
	conn         *connection
	tcp          *net.TCPConn // nil if the system provides no send state
	state        *upload
	began        time.Time
	meter        progress.Meter
	acknowledged uint64
}

// writeLong writes a long request and checks its progress until the replica's machine has acknowledged all of it or the
// answer has begun.
func (c *connection) writeLong(state *upload, head, body []byte, taken func()) {
	defer close(state.writerDone)
	defer c.setSlowReadingTolerated(false)
	write := &longWrite{conn: c, state: state, began: time.Now(), meter: progress.NewMeter(minProgressBytes, 0)}
	write.tcp, _ = c.Conn.(*net.TCPConn)
	if !write.write(head) || !write.write(body) {
		return
	}
	_ = c.SetWriteDeadline(time.Time{})
	if write.awaitAcknowledged(taken != nil) && taken != nil {
		taken()
	}
}

// write hands data to the system. It returns false if the write failed or the request was given up.
func (w *longWrite) write(data []byte) bool {
	for len(data) > 0 {
		_ = w.conn.SetWriteDeadline(time.Now().Add(progressInterval))
		n, err := w.conn.Write(data)
		data = data[n:]
		late := errors.Is(err, os.ErrDeadlineExceeded)
		if late {
			err = nil
		}
		if w.conn.recordWrite(w.state, n, err); err != nil {
			return false
		}
		w.meter.Add(time.Since(w.began), int64(n))
		if late && !w.checkProgress() {
			return false
		}
	}
	return true
}

// awaitAcknowledged waits until the replica's machine has acknowledged all bytes or the answer has begun. It returns false
// if the request was given up before. prompt is set if the next large request may wait for the result.
func (w *longWrite) awaitAcknowledged(prompt bool) bool {
	tick := progressInterval
	if prompt {
		tick = firstCheckInterval
	}
	for ; w.tcp != nil && !w.state.isAnswered() && readSendState(w.tcp).pending; tick = min(2*tick, progressInterval) {
		if !w.checkProgress() {
			return false
		}
		select {
		case <-w.state.answered:
		case <-time.After(tick):
		}
	}
	return true
}

// checkProgress reports whether the replica still makes progress in reading the request. If not, it closes the
// connection, because a late answer is of no use. A replica that has begun its answer need not read the rest.
func (w *longWrite) checkProgress() bool {
	now := time.Since(w.began)
	var cause error
	if w.tcp != nil {
		tcpState := readSendState(w.tcp)
		w.meter.Add(now, int64(tcpState.acknowledged-w.acknowledged))
		w.acknowledged = tcpState.acknowledged
		if tcpState.inFlight && tcpState.silence >= w.conn.peerTimeout {
			cause = ErrSilent
		}
	}
	if w.meter.StalledFor(now) >= stallTimeout && !w.state.isAnswered() {
		cause = ErrStalled
	}
	if cause == nil {
		return true
	}
	w.state.err.Store(&cause)
	w.conn.abort()
	return false
}

// setSlowReadingTolerated switches off the system's bound on unacknowledged bytes for the time of a long request, or
// restores it.
func (c *connection) setSlowReadingTolerated(tolerated bool) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		timeout := c.peerTimeout
		if tolerated {
			timeout = 0
		}
		setUserTimeout(tcp, timeout)
	}
}
