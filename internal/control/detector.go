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
	// detectionsPerLease is the number of member checks per lease duration.
	detectionsPerLease = 12
	// maximumGapDetections limits how much of the time between two checks counts as silence, in check intervals. After
	// a longer gap, messages that arrived during it have not been read yet. Gaps above the limit must still count in
	// part: when checks 0.4 s apart counted as no silence at all, dead members stayed alive forever.
	maximumGapDetections = 3
	// recordTimeout bounds one attempt to record a member's state.
	recordTimeout = 2 * time.Second
)

// detector watches, on the leader, which members still renew their leases. A member that is silent for longer than the
// pauses that members must survive becomes suspect. One whose lease has lapsed as well is recorded as gone.
type detector struct {
	server *Server

	mutex        sync.Mutex
	observedTime *monotonic.ObservedTime // clock on which silences are measured
	leadSince    time.Duration           // silence counts from this time at the earliest
	heardAt      map[lease.HolderID]time.Duration
	recording    map[string]bool    // names of members with a command in progress
	deferred     map[string]renewal // newest renewal that arrived during a command, by member name
	routines     sync.WaitGroup
}

func newDetector(server *Server) *detector {
	return &detector{
		server:       server,
		observedTime: monotonic.NewObservedTime(server.config.Clock(), server.settings.Lease*maximumGapDetections/detectionsPerLease),
		heardAt:      make(map[lease.HolderID]time.Duration),
		recording:    make(map[string]bool),
		deferred:     make(map[string]renewal),
	}
}

func holderOf(member *wire.Member) lease.HolderID {
	return lease.HolderID{Name: member.GetName(), Incarnation: member.GetIncarnation()}
}

// beginLeading resets the detector on a new leader, which does not know when members were last heard.
func (d *detector) beginLeading() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leadSince = d.observedTime.Observe(d.server.config.Clock())
	clear(d.heardAt)
}

// markHeard records that a message of holder arrived.
func (d *detector) markHeard(holder lease.HolderID) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.heardAt[holder] = d.observedTime.At(d.server.config.Clock())
}

// suspectAfter and goneAfter return how long a member must be silent to become suspect or, once its lease has lapsed,
// gone. Members renew every sixth of a lease, so a member that pauses for five sixths of a lease exceeds neither.
func (d *detector) suspectAfter() time.Duration {
	return d.server.settings.Lease * 7 / 6
}

func (d *detector) goneAfter() time.Duration {
	return d.server.settings.Lease * 4 / 3
}

// run checks the members at regular intervals until ctx ends.
func (d *detector) run(ctx context.Context) {
	interval := d.server.settings.Lease / detectionsPerLease
	pause.Every(ctx, interval, func(ctx context.Context) {
		if d.server.leadsControlGroup() {
			d.checkMembers(ctx)
		}
	})
}

// checkMembers updates the state of every member that holds leases.
func (d *detector) checkMembers(ctx context.Context) {
	d.mutex.Lock()
	d.observedTime.Observe(d.server.config.Clock())
	d.mutex.Unlock()
	for _, member := range d.server.publisher.currentMembers().Members {
		if !wire.HoldsLease(member.Role) {
			continue
		}
		d.updateState(ctx, member, d.silenceOf(holderOf(member)))
	}
}

func (d *detector) silenceOf(holder lease.HolderID) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.observedTime.At(d.server.config.Clock()) - max(d.heardAt[holder], d.leadSince)
}

func (d *detector) updateState(ctx context.Context, member *wire.Member, silence time.Duration) {
	holder := holderOf(member)
	switch {
	case member.State == wire.MemberState_MEMBER_STATE_GONE:
	case silence > d.goneAfter() && !d.server.leases.mayHoldLease(holder):
		d.record(ctx, member, wire.MemberState_MEMBER_STATE_GONE)
	case silence > d.suspectAfter() && member.State == wire.MemberState_MEMBER_STATE_ALIVE:
		d.record(ctx, member, wire.MemberState_MEMBER_STATE_SUSPECT)
	}
}

// beginRecording reserves the recording of a member's state. It returns false if a command for the member is already in
// progress.
func (d *detector) beginRecording(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.recording[name] {
		return false
	}
	d.recording[name] = true
	d.routines.Add(1)
	return true
}

// endRecording ends the reservation of beginRecording and requeues a renewal that arrived in the meantime.
func (d *detector) endRecording(name string) {
	defer d.routines.Done()
	d.mutex.Lock()
	delete(d.recording, name)
	pending, waits := d.deferred[name]
	delete(d.deferred, name)
	d.mutex.Unlock()
	if waits {
		d.requeueRenewal(pending)
	}
}

// deferRenewal keeps a renewal until the member's command in progress ends. It returns false if there is no such
// command any more.
func (d *detector) deferRenewal(pending renewal) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	name := pending.session.member.Name
	if !d.recording[name] {
		return false
	}
	d.deferred[name] = pending
	return true
}

// requeueRenewal puts a renewal back into the queue.
func (d *detector) requeueRenewal(pending renewal) {
	select {
	case d.server.renewals <- pending:
	case <-pending.session.stream.Context().Done():
	case <-d.server.context.Done():
	}
}

// record replicates a member's state in the background.
func (d *detector) record(ctx context.Context, member *wire.Member, state wire.MemberState) {
	if !d.beginRecording(member.Name) {
		return
	}
	go func() {
		defer d.endRecording(member.Name)
		if d.propose(ctx, member, state) {
			d.server.orphans.requestSweep()
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
		d.server.log.WithError(err).Debugf("failed to record the state of member %s", member.Name)
		return false
	}
	d.server.publisher.applied()
	logging.Emit(d.server.log, &events.MemberChanged{Member: wire.OwnerName(member), State: wire.MemberStateText(state)})
	return true
}

// ensureRegistered reports whether the sender of a renewal is a member that may hold a lease. A sender that is not yet
// a member is registered in the background, and its renewal is requeued afterwards.
func (d *detector) ensureRegistered(pending renewal) bool {
	member := pending.session.member
	known := d.server.publisher.member(member.Name)
	if known.GetIncarnation() > member.Incarnation {
		logging.Emit(d.server.log, &events.MemberOutranked{Member: wire.OwnerName(member), By: wire.OwnerName(known)})
		pending.session.supersede(pending.request.Sequence, known.GetIncarnation())
		return false
	}
	if known.GetIncarnation() == member.Incarnation && known.State != wire.MemberState_MEMBER_STATE_GONE {
		if known.State == wire.MemberState_MEMBER_STATE_SUSPECT {
			d.record(d.server.context, known, wire.MemberState_MEMBER_STATE_ALIVE)
		}
		return true
	}
	for !d.beginRecording(member.Name) {
		if d.deferRenewal(pending) { // otherwise its holder would get no answer until it renews again
			return false
		}
	}
	go func() {
		defer d.endRecording(member.Name)
		d.register(pending)
	}()
	return false
}

// register makes the sender of a renewal a member, replacing an earlier start of the same process.
func (d *detector) register(pending renewal) {
	ctx, cancel := context.WithTimeout(pending.session.stream.Context(), recordTimeout)
	defer cancel()
	member := pending.session.member
	if !d.propose(ctx, member, wire.MemberState_MEMBER_STATE_ALIVE) {
		return
	}
	_, _ = d.server.publisher.refresh() // a failed read is logged, and repeated by the publisher
	d.requeueRenewal(pending)
}

// handleLeaving records that a member leaves as planned, then confirms it.
func (d *detector) handleLeaving(pending renewal) {
	member := pending.session.member
	known := d.server.publisher.member(member.Name)
	if known.GetIncarnation() != member.Incarnation || known.State == wire.MemberState_MEMBER_STATE_GONE {
		pending.session.answerRenewal(pending.request.Sequence, false, nil)
		return
	}
	if !d.beginRecording(member.Name) {
		return // the holder repeats its request
	}
	go func() {
		defer d.endRecording(member.Name)
		ctx := pending.session.stream.Context()
		// A start that is recorded as leaving cannot come back.
		left := d.propose(ctx, member, wire.MemberState_MEMBER_STATE_LEAVING)
		if left && d.propose(ctx, member, wire.MemberState_MEMBER_STATE_GONE) {
			d.server.orphans.requestSweep()
			pending.session.answerRenewal(pending.request.Sequence, false, nil)
		}
	}()
}
