package control

import (
	"sync"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// maximumNameBytes bounds the text fields of a member.
const maximumNameBytes = 128

// renewal is one request for a lease that waits for a read round.
type renewal struct {
	session *session
	request *wire.SessionRequest
}

// session is one holder's stream. Its writer builds replies from what is due, so that a slow holder
// costs one reply's memory, however much happens meanwhile.
type session struct {
	server *Server
	stream wire.DRPCControl_SessionStream
	packed bool          // the holder reads packed updates
	wake   chan struct{} // capacity 1: something is due
	ended  chan struct{} // closed when the stream has ended

	mutex       sync.Mutex
	member      *wire.Member
	holder      lease.HolderID
	ordinal     uint64                         // among the sessions of this node
	answer      uint64                         // sequence of the newest renewal to answer; 0 for none
	superseded  uint64                         // number of a later start of the holder's name, that answer tells; 0 for none
	granted     bool                           // whether answer is a grant
	shares      map[string]*wire.ResourceShare // that come with the grant, by resource
	redirect    string                         // leader's address, to be told once
	turnedAway  bool                           // no leader is known; to be told once
	invited     bool                           // this node leads now; to be told once
	sentTable   uint64                         // table version that the holder has or was sent
	sentMembers uint64                         // members version that it has or was sent
}

// Session implements wire.DRPCControlServer.
func (s *Server) Session(stream wire.DRPCControl_SessionStream) error {
	first, err := stream.Recv()
	if err != nil {
		return endOfStream(err)
	}
	if err := checkMember(first.Member); err != nil {
		return trace.Wrap(err)
	}
	holder := &session{
		server: s, stream: stream, packed: first.AcceptsPacked,
		wake: make(chan struct{}, 1), ended: make(chan struct{}),
		member:    first.Member,
		holder:    lease.HolderID{Name: first.Member.Name, Incarnation: first.Member.Incarnation},
		sentTable: first.ActedVersion, sentMembers: first.MembersVersion,
		ordinal: s.opened.Add(1), shares: map[string]*wire.ResourceShare{},
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

// read hands renewals to the granting loop.
func (s *session) read(request *wire.SessionRequest) error {
	ctx := s.stream.Context()
	for {
		if request.Member.GetName() != s.holder.Name || request.Member.GetIncarnation() != s.holder.Incarnation {
			return trace.BadParameter("a session's member may not change: want %s", s.holder.Name)
		}
		if err := s.server.levels.check(request.Member); err != nil {
			return err
		}
		s.server.detector.heard(s.holder)
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

// answerRenewal notes that a renewal was judged, and the shares that go out with the grant: a grant without them would tell the holder
// that nothing is divided.
func (s *session) answerRenewal(sequence uint64, granted bool, shares []*wire.ResourceShare) {
	s.mutex.Lock()
	if sequence >= s.answer {
		s.answer, s.granted = sequence, granted
	}
	for _, one := range shares {
		s.shares[one.Resource] = one
	}
	s.mutex.Unlock()
	s.wakeUp()
}

// supersede answers a renewal of a start whose name a start with a higher number has.
func (s *session) supersede(sequence, by uint64) {
	s.mutex.Lock()
	s.superseded = by
	s.mutex.Unlock()
	s.answerRenewal(sequence, false, nil)
}

// answerNumber numbers the answer to a renewal among those of all sessions of this node, so that a later session of a holder has
// higher numbers.
func (s *session) answerNumber(sequence uint64) uint64 { return s.ordinal<<sequenceBits | sequence }

// sequenceBits are enough for a stream of 1,000 renewals a second over 49 days.
const sequenceBits = 32

// redirectTo tells the holder which node leads.
func (s *session) redirectTo(address string) {
	s.mutex.Lock()
	s.redirect = address
	s.mutex.Unlock()
	s.wakeUp()
}

// turnAway tells the holder that this node knows no leader.
func (s *session) turnAway() {
	s.mutex.Lock()
	s.turnedAway = true
	s.mutex.Unlock()
	s.wakeUp()
}

// invite tells the holder that this node leads now: one that was turned away and stayed may ask again.
func (s *session) invite() {
	s.mutex.Lock()
	s.invited = true
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
		reply := s.due()
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

// due builds the reply that the holder should get now; nil for none.
func (s *session) due() *wire.SessionReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.redirect != "" || s.turnedAway {
		reply := &wire.SessionReply{LeaderAddress: s.redirect, LeaderUnknown: s.redirect == ""}
		s.answer, s.superseded, s.redirect, s.turnedAway, s.invited = 0, 0, "", false, false
		clear(s.shares) // given by a leadership that this node has lost
		return reply
	}
	reply := &wire.SessionReply{}
	worth := s.invited // an empty reply is an invitation
	s.invited = false
	if s.answer != 0 {
		reply.Sequence, reply.Granted, reply.SupersededBy = s.answer, s.granted, s.superseded
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
		s.answer, s.superseded = 0, 0
		worth = true
	}
	if published := s.server.publisher.updateFrom(s.sentTable); published != nil {
		published.put(reply, s.packed)
		s.sentTable = published.update.ToVersion
		worth = true
		if s.sentTable < s.server.publisher.table.version() {
			s.wakeUp() // what is newer follows
		}
	}
	if members := s.server.publisher.membersAfter(s.sentMembers); members != nil {
		reply.Members = members
		s.sentMembers = members.MembersVersion
		worth = true
	}
	if !worth {
		return nil
	}
	return reply
}

// ledgerIndexes are the ledger groups' positions as applied here.
func (s *Server) ledgerIndexes() []*wire.LedgerIndex {
	indexes := make([]*wire.LedgerIndex, 0, s.config.LedgerGroups)
	for group := uint32(1); int(group) <= s.config.LedgerGroups; group++ {
		indexes = append(indexes, &wire.LedgerIndex{Group: group, Index: s.states[group].applied.Load()})
	}
	return indexes
}
