package consensusbench

import (
	"context"
	"crypto/sha256"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Modes of a load.
const (
	modeGroupCommit  = "group_commit"
	modeSyncPerClaim = "sync_per_claim"
	modeOpenLoop     = "open_loop"
)

// openLoopWorkers bounds the requests in flight of the open-loop load.
const openLoopWorkers = 2048

// loads measures one sync per claim, then group commit, then the open loop.
func (r *run) loads(ctx context.Context) error {
	baseline := map[int]float64{}
	err := r.withCluster(ctx, modeSyncPerClaim, func(config *consensus.Config) { config.MaxBatchProposals = 1 },
		func(c *cluster, leaders []*consensus.Host) error {
			for _, clients := range r.config.Clients {
				load := r.closedLoop(ctx, modeSyncPerClaim, clients, leaders)
				baseline[clients] = load.CommittedPerSec
				r.report.Loads = append(r.report.Loads, load)
			}
			return ctx.Err()
		})
	if err != nil {
		return err
	}
	return r.withCluster(ctx, modeGroupCommit, nil, func(c *cluster, leaders []*consensus.Host) error {
		for _, clients := range r.config.Clients {
			load := r.closedLoop(ctx, modeGroupCommit, clients, leaders)
			load.Speedup = ratio(load.CommittedPerSec, baseline[clients])
			r.report.Loads = append(r.report.Loads, load)
		}
		r.report.Loads = append(r.report.Loads, r.openLoop(ctx, leaders))
		return ctx.Err()
	})
}

// withCluster runs measure on a new cluster whose groups' leaders are spread over the nodes.
func (r *run) withCluster(ctx context.Context, name string, change func(*consensus.Config),
	measure func(c *cluster, leaders []*consensus.Host) error) error {
	c, err := r.startCluster(name, change)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.spreadLeaders(ctx); err != nil {
		return err
	}
	leaders := make([]*consensus.Host, len(c.groups))
	for i, group := range c.groups {
		leader, err := c.leader(ctx, group)
		if err != nil {
			return err
		}
		leaders[i] = leader.host
	}
	return measure(c, leaders)
}

// claims makes ClaimBegin commands with unique keys.
type claims struct {
	prefix string
	next   atomic.Uint64
	groups int
}

func (c *claims) begin() (group uint32, command *wire.Command) {
	key := fmt.Sprintf("%s/%d", c.prefix, c.next.Add(1))
	hash := sha256.Sum256([]byte(key))
	return state.LedgerGroup(key, c.groups), &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{
		Key: key, BodyHash: hash[:], Owner: "bench#1", Attempt: key + "#1", NowUnixMillis: time.Now().UnixMilli()}}}
}

// claimOnce makes one claim and tells whether it was granted.
func claimOnce(ctx context.Context, source *claims, leaders []*consensus.Host) bool {
	group, command := source.begin()
	result, _, err := leaders[group].Propose(ctx, group, command)
	return err == nil && result.GetClaim().GetState() == wire.ClaimState_CLAIM_STATE_GRANTED
}

// closedLoop has each client make the next claim when the last one is answered.
func (r *run) closedLoop(ctx context.Context, mode string, clients int, leaders []*consensus.Host) Load {
	source := &claims{prefix: fmt.Sprintf("%s-%d", mode, clients), groups: r.config.LedgerGroups}
	total := newHistogram()
	var failures atomic.Int64
	var mutex sync.Mutex
	running, loadCtx := errgroup.WithContext(ctx)
	begin := time.Now()
	end := begin.Add(r.config.Duration)
	for range clients {
		running.Go(func() error {
			own := newHistogram()
			for sent := time.Now(); sent.Before(end) && loadCtx.Err() == nil; sent = time.Now() {
				if claimOnce(loadCtx, source, leaders) {
					record(own, time.Since(sent))
				} else {
					failures.Add(1)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			total.Merge(own)
			return nil
		})
	}
	_ = running.Wait() // the clients return no error
	load := Load{Clients: clients, Mode: mode, Errors: failures.Load(), Latency: summarise(total)}
	load.CommittedPerSec = float64(total.TotalCount()) / time.Since(begin).Seconds()
	r.compare(&load)
	return load
}

// openLoop makes claims at a fixed rate, whether or not earlier ones are answered. Latency counts from
// the moment at which the claim was due.
func (r *run) openLoop(ctx context.Context, leaders []*consensus.Host) Load {
	source := &claims{prefix: modeOpenLoop, groups: r.config.LedgerGroups}
	total := newHistogram()
	var failures atomic.Int64
	var mutex sync.Mutex
	due := make(chan time.Time, openLoopWorkers)
	running, loadCtx := errgroup.WithContext(ctx)
	for range openLoopWorkers {
		running.Go(func() error {
			own := newHistogram()
			for moment := range due {
				if claimOnce(loadCtx, source, leaders) {
					record(own, time.Since(moment))
				} else {
					failures.Add(1)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			total.Merge(own)
			return nil
		})
	}
	begin := time.Now()
	offered := offer(loadCtx, due, begin, r.config.Rate, r.config.Duration)
	close(due)
	_ = running.Wait() // the workers return no error
	elapsed := time.Since(begin).Seconds()
	load := Load{Mode: modeOpenLoop, OfferedPerSec: float64(offered) / r.config.Duration.Seconds(),
		CommittedPerSec: float64(total.TotalCount()) / elapsed, Errors: failures.Load(), Latency: summarise(total)}
	r.compare(&load)
	return load
}

// offerInterval is the pace at which due claims are handed out, together for one interval.
const offerInterval = 200 * time.Microsecond

func offer(ctx context.Context, due chan<- time.Time, begin time.Time, rate int, duration time.Duration) int {
	interval := time.Second / time.Duration(rate)
	count := int(duration / interval)
	for offered := 0; offered < count; {
		if ctx.Err() != nil {
			return offered
		}
		for now := time.Now(); offered < count && !begin.Add(time.Duration(offered)*interval).After(now); offered++ {
			due <- begin.Add(time.Duration(offered) * interval)
		}
		time.Sleep(offerInterval)
	}
	return count
}

func (r *run) compare(load *Load) {
	load.P50Syncs = ratio(load.Latency.P50, r.report.BareSyncShared.P50)
	load.P99Syncs = ratio(load.Latency.P99, r.report.BareSyncShared.P50)
	load.P99OverP99 = ratio(load.Latency.P99, r.report.BareSyncShared.P99)
}

// ratio is rounded to two decimals; 0 if it has no meaning.
func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return math.Round(100*value/base) / 100
}
