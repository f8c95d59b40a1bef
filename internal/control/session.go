package control

import (
	"sync"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// maximumNameBytes is the size limit of each text field of a member.
const maximumNameBytes = 128

// renewal is a lease request that is queued for the next read round.
type renewal struct {
	session *session
	request *wire.SessionRequest
}

// session is the stream of one lease holder. Its writer builds each reply from the latest state, so a slow holder costs
// the memory of one reply, regardless of how many changes happen in the meantime.
type session struct {
	server        *Server
	stream        wire.DRPCControl_SessionStream
	acceptsPacked bool            // the holder understands packed updates
	accepted      wire.TableScope // what the holder wants to follow
	wake          chan struct{}   // capacity 1: a reply may be pending
	ended         chan struct{}   // closed when the stream has ended

	mutex            sync.Mutex
	member           *wire.Member
	holder           lease.HolderID
	ordinal          uint64                         // number of this session among all sessions of this node
	answerSequence   uint64                         // sequence of the newest renewal to answer; 0 if there is none
	supersededBy     uint64                         // higher incarnation registered under the same name; 0 if none
	granted          bool                           // whether the answer grants the lease
	shares           map[string]*wire.ResourceShare // sent with the next grant, by resource
	redirect         string                         // address of the leader, sent once; "" if there is none to send
	leaderUnknown    bool                           // no leader is known; sent once
	leadershipGained bool                           // this node has begun to lead; sent once
	sentTable        uint64                         // table version that the holder reported or was last sent
	sentMembers      uint64                         // members version that the holder reported or was last sent
}

// Session implements wire.DRPCControlServer. It serves one lease holder's stream until the stream ends.
func (s *Server) Session(stream wire.DRPCControl_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return endOfStream(err)
	}
	if err := checkMember(first.Member); err != nil {
		return trace.Wrap(err)
	}
	holder := &session{
		server: s, stream: stream, acceptsPacked: first.AcceptsPacked, accepted: first.Scope,
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
		member:    first.Member,
		holder:    lease.HolderID{Name: first.Member.Name, Incarnation: first.Member.Incarnation},
		sentTable: s.firstTableVersion(first), sentMembers: first.MembersVersion,
		ordinal: s.sessionsOpened.Add(1), shares: map[string]*wire.ResourceShare{},
	}
	s.sessions.add(holder)
	defer s.sessions.remove(holder)
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		holder.write()
	}()
	err = holder.read(first)
	close(holder.ended)
	<-writerDone
	return endOfStream(err)
}

// firstTableVersion returns the version from which a new session's holder is sent the table. A holder that may have a part
// of it is sent all where parts are not in force yet, because it lacks rows that have not changed.
func (s *Server) firstTableVersion(first *wire.SessionRequest) uint64 {
	if first.Scope != wire.TableScope_TABLE_SCOPE_WHOLE && !s.levels.agreed().Includes(compat.TableScopes) {
		return 0
	}
	return first.ActedVersion
}

// scope returns what the holder follows. While older builds may lead, which send every holder the whole table, it is the
// whole: a holder with a part of the table could not adopt their updates.
func (s *session) scope() wire.TableScope {
	if s.server.levels.agreed().Includes(compat.TableScopes) {
		return s.accepted
	}
	return wire.TableScope_TABLE_SCOPE_WHOLE
}

func checkMember(member *wire.Member) error {
	switch {
	case member.GetName() == "" || len(member.Name) > maximumNameBytes:
		return trace.BadParameter("a member needs a name of at most %d bytes", maximumNameBytes)
	case member.Incarnation == 0:
		return trace.BadParameter("member %s needs an incarnation above 0", member.Name)
	case len(member.Address) > maximumNameBytes || len(member.Zone) > maximumNameBytes || len(member.Region) > maximumNameBytes:
		return trace.BadParameter("member %s: address, zone and region may have at most %d bytes", member.Name, maximumNameBytes)
	}
	return nil
}

// read passes renewals to the grant loop until the stream ends.
func (s *session) read(request *wire.SessionRequest) error {
	ctx := s.stream.Context()
	for {
		if request.Member.GetName() != s.holder.Name || request.Member.GetIncarnation() != s.holder.Incarnation {
			return trace.BadParameter("a session's member may not change: want %s", s.holder.Name)
		}
		if err := s.server.levels.check(request.Member); err != nil {
			return err
		}
		s.server.detector.markHeard(s.holder)
		select {
		case s.server.renewals <- renewal{session: s, request: request}:
		case <-ctx.Done():
			return ctx.Err()
		}
		var err error
		if request, err = s.stream.Recv(); err != nil {
			return err
		}
	}
}

// answerRenewal queues the answer to a renewal together with the shares that belong to a grant. A grant without its
// shares would tell the holder that no resource is divided.
func (s *session) answerRenewal(sequence uint64, granted bool, shares []*wire.ResourceShare) {
	s.mutex.Lock()
	if sequence >= s.answerSequence {
		s.answerSequence, s.granted = sequence, granted
	}
	for _, one := range shares {
		s.shares[one.Resource] = one
	}
	s.mutex.Unlock()
	s.wakeUp()
}

// supersede rejects a renewal because a process with a higher incarnation is registered under the same name.
func (s *session) supersede(sequence, by uint64) {
	s.mutex.Lock()
	s.supersededBy = by
	s.mutex.Unlock()
	s.answerRenewal(sequence, false, nil)
}

// answerNumber returns a number for the answer to a renewal that is unique among all sessions of this node. A holder's
// later session gets higher numbers than its earlier one.
func (s *session) answerNumber(sequence uint64) uint64 { return s.ordinal<<sequenceBits | sequence }

// sequenceBits is the number of bits of a renewal's sequence: enough for 1,000 renewals per second over 49 days on one
// stream.
const sequenceBits = 32

// redirectTo notifies the holder which node leads.
func (s *session) redirectTo(address string) {
	s.mutex.Lock()
	s.redirect = address
	s.mutex.Unlock()
	s.wakeUp()
}

// notifyLeaderUnknown notifies the holder that this node knows no leader.
func (s *session) notifyLeaderUnknown() {
	s.mutex.Lock()
	s.leaderUnknown = true
	s.mutex.Unlock()
	s.wakeUp()
}

// notifyLeading notifies the holder that this node leads now. A holder that was told of an unknown leader and kept its
// stream open can renew again.
func (s *session) notifyLeading() {
	s.mutex.Lock()
	s.leadershipGained = true
	s.mutex.Unlock()
	s.wakeUp()
}

func (s *session) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// write sends replies until the stream ends.
func (s *session) write() {
	ctx := s.stream.Context()
	for {
		select {
		case <-s.ended:
			return
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		reply := s.buildReply()
		if reply == nil {
			continue
		}
		if err := s.stream.Send(reply); err != nil {
			return
		}
		if err := flush(s.stream); err != nil {
			return
		}
	}
}

// buildReply returns the reply to send to the holder now, or nil if there is nothing to send.
func (s *session) buildReply() *wire.SessionReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.redirect != "" || s.leaderUnknown {
		reply := &wire.SessionReply{LeaderAddress: s.redirect, LeaderUnknown: s.redirect == ""}
		s.answerSequence, s.supersededBy, s.redirect, s.leaderUnknown, s.leadershipGained = 0, 0, "", false, false
		clear(s.shares) // granted under a leadership that this node has lost
		return reply
	}
	reply := &wire.SessionReply{}
	hasContent := s.leadershipGained // an empty reply notifies the holder that this node leads
	s.leadershipGained = false
	if s.answerSequence != 0 {
		reply.Sequence, reply.Granted, reply.SupersededBy = s.answerSequence, s.granted, s.supersededBy
		if s.granted {
			reply.LeaseMillis = uint32(s.server.settings.Lease.Milliseconds())
			reply.LedgerIndexes = s.server.ledgerIndexes()
			reply.ControlAddresses = s.server.nodes.get()
			reply.Level = uint32(s.server.levels.agreed())
			for _, one := range s.shares {
				reply.Shares = append(reply.Shares, one)
			}
			clear(s.shares)
		}
		s.answerSequence, s.supersededBy = 0, 0
		hasContent = true
	}
	scope := s.scope()
	if published := s.server.publisher.updateFrom(scope, s.sentTable); published != nil {
		published.addTo(reply, s.acceptsPacked)
		s.sentTable = published.update.ToVersion
		hasContent = true
		if s.sentTable < s.server.publisher.updates(scope).version() {
			s.wakeUp() // the next reply carries the newer versions
		}
	}
	if members := s.server.publisher.membersAfter(scope, s.sentMembers); members != nil {
		reply.Members = members
		s.sentMembers = members.MembersVersion
		hasContent = true
	}
	if !hasContent {
		return nil
	}
	return reply
}

// ledgerIndexes returns the log position that this node has applied in each ledger group.
func (s *Server) ledgerIndexes() []*wire.LedgerIndex {
	indexes := make([]*wire.LedgerIndex, 0, s.config.LedgerGroups)
	for group := uint32(1); int(group) <= s.config.LedgerGroups; group++ {
		indexes = append(indexes, &wire.LedgerIndex{Group: group, Index: s.states[group].applied.Load()})
	}
	return indexes
}
