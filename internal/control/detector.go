package control

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/monotonic"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// detectionsPerLease is how often per lease the members are looked at.
	detectionsPerLease = 12
	// attentionOfLease is what counts as silence at most of the time between two looks, in detections: of a longer one what
	// arrived meanwhile is not yet read. Looks 0.4 s apart used to count nothing, and dead members stayed alive for good.
	attentionOfLease = 3
	// recordTimeout bounds one attempt to record a member's state.
	recordTimeout = 2 * time.Second
)

// detector watches, on the leader, which members still renew their leases. A member that is silent for
// longer than a pause that it must survive is suspect; one whose lease has lapsed besides is gone.
type detector struct {
	server *Server

	mutex     sync.Mutex
	attention *monotonic.Attention // silences are measured on it
	leadSince time.Duration        // silence counts from here at the earliest
	heardAt   map[lease.HolderID]time.Duration
	recording map[string]bool    // members, by name, for whom a command is under way
	later     map[string]renewal // newest renewal, by member's name, that came meanwhile
	routines  sync.WaitGroup
}

func newDetector(server *Server) *detector {
	return &detector{
		server:    server,
		attention: monotonic.NewAttention(server.config.Clock(), server.settings.Lease*attentionOfLease/detectionsPerLease),
		heardAt:   make(map[lease.HolderID]time.Duration),
		recording: make(map[string]bool),
		later:     make(map[string]renewal),
	}
}

func holderOf(member *wire.Member) lease.HolderID {
	return lease.HolderID{Name: member.GetName(), Incarnation: member.GetIncarnation()}
}

// lead starts over as a new leader: what happened before is not known here.
func (d *detector) lead() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leadSince = d.attention.Look(d.server.config.Clock())
	clear(d.heardAt)
}

// heard notes a sign of life.
func (d *detector) heard(holder lease.HolderID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.heardAt[holder] = d.attention.At(d.server.config.Clock())
}

// suspectAfter and goneAfter are silences. With renewals every sixth of a lease, a member that pauses
// for five sixths of a lease is neither.
func (d *detector) suspectAfter() time.Duration {
	return d.server.settings.Lease * 7 / 6
}

func (d *detector) goneAfter() time.Duration {
	return d.server.settings.Lease * 4 / 3
}

// run looks at the members until ctx ends.
func (d *detector) run(ctx context.Context) {
	interval := d.server.settings.Lease / detectionsPerLease
	pause.Every(ctx, interval, func(ctx context.Context) {
		if d.server.leading() {
			d.look(ctx)
		}
	})
}

// look judges every member once.
func (d *detector) look(ctx context.Context) {
	d.mutex.Lock()
	d.attention.Look(d.server.config.Clock())
	d.mutex.Unlock()
	for _, member := range d.server.publisher.currentMembers().Members {
		if !wire.HoldsLease(member.Role) {
			continue
		}
		d.judge(ctx, member, d.silence(holderOf(member)))
	}
}

func (d *detector) silence(holder lease.HolderID) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.attention.At(d.server.config.Clock()) - max(d.heardAt[holder], d.leadSince)
}

func (d *detector) judge(ctx context.Context, member *wire.Member, silence time.Duration) {
	holder := holderOf(member)
	switch {
	case member.State == wire.MemberState_MEMBER_STATE_GONE:
	case silence > d.goneAfter() && !d.server.leases.mayHold(holder):
		d.record(ctx, member, wire.MemberState_MEMBER_STATE_GONE)
	case silence > d.suspectAfter() && member.State == wire.MemberState_MEMBER_STATE_ALIVE:
		d.record(ctx, member, wire.MemberState_MEMBER_STATE_SUSPECT)
	}
}

// begin reserves the right to record something about a member; only one command is under way each.
func (d *detector) begin(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.recording[name] {
		return false
	}
	d.recording[name] = true
	d.routines.Add(1)
	return true
}

// end frees the right that begin reserved, and has a renewal that came meanwhile judged again.
func (d *detector) end(name string) {
	defer d.routines.Done()
	d.mutex.Lock()
	delete(d.recording, name)
	waiting, waits := d.later[name]
	delete(d.later, name)
	d.mutex.Unlock()
	if waits {
		d.judgeAgain(waiting)
	}
}

// keep remembers a renewal of a member for whom a command is under way; false when there is none any more.
func (d *detector) keep(waiting renewal) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	name := waiting.session.member.Name
	if !d.recording[name] {
		return false
	}
	d.later[name] = waiting
	return true
}

// judgeAgain puts a renewal back among those that wait.
func (d *detector) judgeAgain(waiting renewal) {
	select {
	case d.server.renewals <- waiting:
	case <-waiting.session.stream.Context().Done():
	case <-d.server.context.Done():
	}
}

// record replicates a member's state in the background.
func (d *detector) record(ctx context.Context, member *wire.Member, state wire.MemberState) {
	if !d.begin(member.Name) {
		return
	}
	go func() {
		defer d.end(member.Name)
		if d.propose(ctx, member, state) {
			d.server.orphans.look()
		}
	}()
}

func (d *detector) propose(ctx context.Context, member *wire.Member, state wire.MemberState) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	changed := proto.Clone(member).(*wire.Member)
	changed.State = state
	command := &wire.Command{Kind: &wire.Command_MemberUpdate{MemberUpdate: &wire.MemberUpdate{Member: changed}}}
	result, _, err := d.server.replicas.Propose(ctx, controlGroup, command)
	if err != nil || !result.GetMember().GetAccepted() {
		d.server.log.WithError(err).Debugf("the state of member %s was not recorded", member.Name)
		return false
	}
	d.server.publisher.applied()
	logging.Emit(d.server.log, &events.MemberChanged{Member: wire.OwnerName(member), State: wire.MemberStateText(state)})
	return true
}

// registered says whether the renewal's sender is a member that may hold a lease. If it is not yet, it
// is made one in the background and the renewal is judged again afterwards.
func (d *detector) registered(waiting renewal) bool {
	member := waiting.session.member
	known := d.server.publisher.member(member.Name)
	if known.GetIncarnation() > member.Incarnation {
		logging.Emit(d.server.log, &events.MemberOutranked{Member: wire.OwnerName(member), By: wire.OwnerName(known)})
		waiting.session.supersede(waiting.request.Sequence, known.GetIncarnation())
		return false
	}
	if known.GetIncarnation() == member.Incarnation && known.State != wire.MemberState_MEMBER_STATE_GONE {
		if known.State == wire.MemberState_MEMBER_STATE_SUSPECT {
			d.record(d.server.context, known, wire.MemberState_MEMBER_STATE_ALIVE)
		}
		return true
	}
	for !d.begin(member.Name) {
		if d.keep(waiting) { // otherwise its holder would hear nothing until it renews again
			return false
		}
	}
	go func() {
		defer d.end(member.Name)
		d.register(waiting)
	}()
	return false
}

// register makes the renewal's sender a member, in place of an earlier start of the same process.
func (d *detector) register(waiting renewal) {
	ctx, cancel := context.WithTimeout(waiting.session.stream.Context(), recordTimeout)
	defer cancel()
	member := waiting.session.member
	if !d.propose(ctx, member, wire.MemberState_MEMBER_STATE_ALIVE) {
		return
	}
	d.server.publisher.push()
	d.judgeAgain(waiting)
}

// leave records that a member has left by plan, then confirms it.
func (d *detector) leave(waiting renewal) {
	member := waiting.session.member
	known := d.server.publisher.member(member.Name)
	if known.GetIncarnation() != member.Incarnation || known.State == wire.MemberState_MEMBER_STATE_GONE {
		waiting.session.answerRenewal(waiting.request.Sequence, false, nil)
		return
	}
	if !d.begin(member.Name) {
		return // the holder asks again
	}
	go func() {
		defer d.end(member.Name)
		ctx := waiting.session.stream.Context()
		left := d.propose(ctx, member, wire.MemberState_MEMBER_STATE_LEAVING) // this start may not come back
		if left && d.propose(ctx, member, wire.MemberState_MEMBER_STATE_GONE) {
			d.server.orphans.look()
			waiting.session.answerRenewal(waiting.request.Sequence, false, nil)
		}
	}()
}
