package gateway

import (
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/dispatch"
)

// Dispatch is one entry of GET /v1/log: a send to a back end and the table version it was decided on.
type Dispatch struct {
	Sequence     uint64    `json:"sequence"`
	At           time.Time `json:"at"`
	Gateway      string    `json:"gateway"`
	Kind         string    `json:"kind"` // send, resume or replay
	Pool         string    `json:"pool"`
	Backend      string    `json:"backend"`
	Class        string    `json:"class"`
	Key          string    `json:"key,omitempty"`
	RequestID    string    `json:"request_id,omitempty"`
	StreamID     string    `json:"stream_id"`
	TableVersion uint64    `json:"table_version"`
}

// dispatchLog keeps the latest dispatches.
type dispatchLog struct {
	mutex    sync.Mutex
	entries  []Dispatch // a ring buffer once it has limit entries
	limit    int
	sequence uint64
}

func newDispatchLog(limit int) *dispatchLog { return &dispatchLog{limit: limit} }

var dispatchKinds = map[dispatch.ActionKind]string{dispatch.Send: "send", dispatch.Resume: "resume", dispatch.Replay: "replay"}

func (l *dispatchLog) add(x *exchange, action *dispatch.Action, version uint64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sequence++
	entry := Dispatch{Sequence: l.sequence, At: time.Now(), Gateway: x.server.config.Name, Kind: dispatchKinds[action.Kind],
		Pool: x.call.pool, Backend: x.chosen.name, Class: x.call.class, Key: x.call.key, RequestID: x.call.requestID,
		StreamID: x.streamID, TableVersion: version}
	if len(l.entries) < l.limit {
		l.entries = append(l.entries, entry)
		return
	}
	l.entries[int((l.sequence-1)%uint64(l.limit))] = entry
}

// entriesAfter returns the kept entries with a higher sequence number, oldest first.
func (l *dispatchLog) entriesAfter(sequence uint64) []Dispatch {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entries := []Dispatch{}
	first := l.sequence - uint64(len(l.entries)) + 1
	for n := max(first, sequence+1); n <= l.sequence; n++ {
		entries = append(entries, l.entries[int((n-1)%uint64(l.limit))])
	}
	return entries
}

// Dispatches returns the kept dispatches with a sequence number above after, oldest first.
func (s *Server) Dispatches(after uint64) []Dispatch { return s.dispatchLog.entriesAfter(after) }
