package control

import (
	"sync"
)

// sessionSet is the set of open sessions. It is safe for concurrent use.
type sessionSet struct {
	mutex    sync.Mutex
	sessions map[*session]struct{}
}

func (set *sessionSet) add(added *session) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.sessions == nil {
		set.sessions = make(map[*session]struct{})
	}
	set.sessions[added] = struct{}{}
}

func (set *sessionSet) remove(removed *session) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	delete(set.sessions, removed)
}

// count returns the number of sessions.
func (set *sessionSet) count() int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return len(set.sessions)
}

// each calls visit for every session that is open at the time of the call. The mutex is not held during the calls.
func (set *sessionSet) each(visit func(*session)) {
	set.mutex.Lock()
	open := make([]*session, 0, len(set.sessions))
	for holder := range set.sessions {
		open = append(open, holder)
	}
	set.mutex.Unlock()
	for _, holder := range open {
		visit(holder)
	}
}
