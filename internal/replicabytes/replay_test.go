package replicabytes

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/share"
)

// The replay simulates, in virtual time and fixed steps, several gateways that send large bodies to a few replicas
// with limited memory. Each gateway knows its own bytes and what the leader tells it with its lease renewals.
const (
	replayStep    = 5 * time.Millisecond
	replayLease   = 3 * time.Second
	replayRenewal = replayLease / 12
	replayTrip    = 10 * time.Millisecond
	replayRead    = 100 * time.Millisecond
	replayWork    = 400 * time.Millisecond
	replayBody    = 33 * mega
	replayMemory  = 80 * mega // enough for two bodies but not for three
	// replayPropagation is the time from the first crash until each gateway knows of it: two renewals.
	replayPropagation = 2*replayRenewal + 2*replayTrip
)

type sentBody struct {
	body    *Body
	replica string
	began   time.Duration
}

type replayGateway struct {
	ledger  *Ledger
	turns   *Turns
	holding *share.Holding
	next    time.Duration // time of the next lease renewal
	number  uint64
	waiting int
	sent    []sentBody
	order   []string
}

type replay struct {
	t         *testing.T
	shared    bool // turns and limits are shared through the leader
	replicas  []string
	gateways  []*replayGateway
	allocator *share.Allocator
	numbers   uint64
	held      map[string]int64
	answers   []func(now time.Duration) bool // leader's replies under way; each returns true once it has arrived
	crashes   []time.Duration
	served    int
}

func newReplay(t *testing.T, gateways, replicas int, shared bool, seed uint64) *replay {
	r := &replay{t: t, shared: shared, allocator: share.NewAllocator(0), held: map[string]int64{}}
	random := rand.New(rand.NewPCG(seed, seed))
	r.allocator.SetLimit(share.Bytes("p"), 0)
	for i := range replicas {
		r.replicas = append(r.replicas, fmt.Sprint("r", i))
		r.allocator.SetLimit(share.Turn(r.replicas[i]), 1)
	}
	for range gateways {
		one := &replayGateway{ledger: New(), turns: NewTurns(), holding: share.NewHolding(), next: time.Duration(random.Int64N(int64(replayRenewal)))}
		for _, at := range random.Perm(replicas) {
			one.order = append(one.order, r.replicas[at])
		}
		r.gateways = append(r.gateways, one)
	}
	return r
}

func (r *replay) step(now time.Duration) {
	for position, gateway := range r.gateways {
		r.end(now, gateway)
		if r.shared {
			r.follow(now, gateway)
			r.renew(now, position, gateway)
		}
		r.send(now, gateway)
	}
	left := r.answers[:0]
	for _, answer := range r.answers {
		if !answer(now) {
			left = append(left, answer)
		}
	}
	r.answers = left
}

func (r *replay) end(now time.Duration, gateway *replayGateway) {
	left := gateway.sent[:0]
	for _, sent := range gateway.sent {
		switch age := now - sent.began; {
		case age >= replayWork:
			r.held[sent.replica] -= replayBody
			gateway.ledger.End(now, sent.body, true)
			r.served++
			continue
		case age >= replayRead:
			gateway.ledger.Accept(sent.body)
		}
		left = append(left, sent)
	}
	gateway.sent = left
}

func (r *replay) granted(now time.Duration, gateway *replayGateway) func(string) bool {
	return func(instance string) bool {
		amount, _ := gateway.holding.Share(now, share.Turn(instance))
		return amount > 0
	}
}

func (r *replay) follow(now time.Duration, gateway *replayGateway) {
	fleetLimit, _ := gateway.holding.Share(now, share.Bytes("p"))
	gateway.ledger.SetFleetLimit(now, int64(fleetLimit)*share.BytesUnit)
	if gateway.ledger.Limit(now) > 0 {
		gateway.turns.Step(now, &StepInput{Replicas: gateway.order, Waiting: gateway.waiting, Granted: r.granted(now, gateway),
			Held: func(instance string) bool { return gateway.ledger.Held(instance) > 0 }})
	}
}

func (r *replay) renew(now time.Duration, position int, gateway *replayGateway) {
	if now < gateway.next {
		return
	}
	gateway.next = now + replayRenewal
	demands := []share.ResourceDemand{{Resource: share.Bytes("p"), Demand: share.Demand{InUse: uint32(gateway.ledger.LearnedLimit(now) / share.BytesUnit),
		Waiting: 1 + uint32(gateway.ledger.SingleBodyCrash(now)/share.BytesUnit)}}}
	for _, instance := range gateway.turns.Instances() {
		inUse, waiting, _ := gateway.turns.Demand(instance)
		demands = append(demands, share.ResourceDemand{Resource: share.Turn(instance), Demand: share.Demand{InUse: inUse, Waiting: waiting}})
	}
	r.numbers++
	grants := r.allocator.Renew(now, &share.Renewal{Holder: lease.HolderID{Name: fmt.Sprint(position)}, Number: r.numbers, AppliedAnswer: gateway.number,
		LeaseEnds: now + replayLease, Demands: demands})
	number := r.numbers
	r.answers = append(r.answers, func(at time.Duration) bool {
		if at < now+replayTrip {
			return false
		}
		gateway.holding.Apply(demands, grants, now+replayLease)
		gateway.number = number
		return true
	})
}

func (r *replay) send(now time.Duration, gateway *replayGateway) {
	for gateway.waiting > 0 {
		target := ""
		for _, instance := range gateway.order {
			if !gateway.ledger.Fits(now, instance, replayBody) || r.shared && gateway.ledger.Limit(now) > 0 && !gateway.turns.MaySend(now, instance) {
				continue
			}
			if target == "" || gateway.ledger.Held(instance) < gateway.ledger.Held(target) {
				target = instance
			}
		}
		if target == "" {
			return
		}
		gateway.waiting--
		gateway.sent = append(gateway.sent, sentBody{body: gateway.ledger.Add(now, target, replayBody), replica: target, began: now})
		if r.held[target] += replayBody; r.held[target] > replayMemory {
			r.crash(now, target)
		}
	}
}

// crash restarts a replica at once. The bodies that it held are lost and wait to be sent again.
func (r *replay) crash(now time.Duration, replica string) {
	r.crashes = append(r.crashes, now)
	r.held[replica] = 0
	for _, gateway := range r.gateways {
		left := gateway.sent[:0]
		for _, sent := range gateway.sent {
			if sent.replica != replica {
				left = append(left, sent)
				continue
			}
			gateway.ledger.Crashed(now, replica)
			gateway.ledger.End(now, sent.body, false)
			gateway.waiting++
		}
		gateway.sent = left
	}
}

// TestSharedLimitsPreventFurtherCrashes guards against replicas that crash because several gateways together exceed
// their memory, although each gateway alone does not. Once all gateways know of the first crash there must be no
// further one, and all bodies must be served.
func TestSharedLimitsPreventFurtherCrashes(t *testing.T) {
	for _, gateways := range []int{1, 2, 4, 8} {
		for seed := range uint64(20) {
			r := newReplay(t, gateways, 3, true, seed)
			sent := 0
			for now := time.Duration(0); now < 60*time.Second; now += replayStep {
				if now < 10*time.Second && now%(time.Second) == 0 {
					for _, gateway := range r.gateways {
						gateway.waiting++
						sent++
					}
				}
				r.step(now)
			}
			for _, at := range r.crashes {
				if at > r.crashes[0]+replayPropagation {
					t.Errorf("%d gateways, seed %d: a crash at %v although the first was at %v, want none once it is known", gateways, seed, at, r.crashes[0])
				}
			}
			if r.served != sent {
				t.Errorf("%d gateways, seed %d: %d of %d bodies are served, want all", gateways, seed, r.served, sent)
			}
		}
	}
}

// TestUnsharedLimitsAllowRepeatedCrashes shows why limits and turns are shared: without that, gateways crash replicas
// repeatedly.
func TestUnsharedLimitsAllowRepeatedCrashes(t *testing.T) {
	r := newReplay(t, 8, 3, false, 1)
	for now := time.Duration(0); now < 20*time.Second; now += replayStep {
		if now < 10*time.Second && now%(time.Second) == 0 {
			for _, gateway := range r.gateways {
				gateway.waiting++
			}
		}
		r.step(now)
	}
	if len(r.crashes) < 3 {
		t.Errorf("%d crashes without shared limits, want 3 at least: the replay shows no need to share them", len(r.crashes))
	}
}
