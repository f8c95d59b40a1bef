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

// Values of Load.Mode.
const (
	modeGroupCommit  = "group_commit"
	modeSyncPerClaim = "sync_per_claim"
	modeOpenLoop     = "open_loop"
)

// openLoopWorkers is the maximum number of requests in flight in the open-loop load.
const openLoopWorkers = 2048

// measureLoads measures closed loops with one sync per claim, then closed loops with group commit, then the open loop
// with group commit.
func (r *run) measureLoads(ctx context.Context) error {
	syncPerClaimRates := map[int]float64{}
	err := r.withCluster(ctx, modeSyncPerClaim, func(config *consensus.Config) { config.MaxBatchProposals = 1 },
		func(c *cluster, leaders []*consensus.Host) error {
			for _, clients := range r.config.Clients {
				load := r.runClosedLoop(ctx, modeSyncPerClaim, clients, leaders)
				syncPerClaimRates[clients] = load.CommittedPerSec
				r.report.Loads = append(r.report.Loads, load)
			}
			return ctx.Err()
		})
	if err != nil {
		return err
	}
	return r.withCluster(ctx, modeGroupCommit, nil, func(c *cluster, leaders []*consensus.Host) error {
		for _, clients := range r.config.Clients {
			load := r.runClosedLoop(ctx, modeGroupCommit, clients, leaders)
			load.Speedup = ratio(load.CommittedPerSec, syncPerClaimRates[clients])
			r.report.Loads = append(r.report.Loads, load)
		}
		r.report.Loads = append(r.report.Loads, r.runOpenLoop(ctx, leaders))
		return ctx.Err()
	})
}

// withCluster runs measure on a new cluster whose leaders are distributed over the nodes. leaders is indexed by group.
func (r *run) withCluster(ctx context.Context, name string, configure func(*consensus.Config),
	measure func(c *cluster, leaders []*consensus.Host) error) error {
	c, err := r.startCluster(name, configure)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.spreadLeaders(ctx); err != nil {
		return err
	}
	leaders := make([]*consensus.Host, len(c.groups))
	for i, group := range c.groups {
		leader, err := c.waitForLeader(ctx, group)
		if err != nil {
			return err
		}
		leaders[i] = leader.host
	}
	return measure(c, leaders)
}

// claimGenerator makes ClaimBegin commands with unique keys.
type claimGenerator struct {
	prefix string
	count  atomic.Uint64
	groups int
}

// next returns a command with a new key and the ledger group that the key belongs to.
func (c *claimGenerator) next() (group uint32, command *wire.Command) {
	key := fmt.Sprintf("%s/%d", c.prefix, c.count.Add(1))
	hash := sha256.Sum256([]byte(key))
	return state.LedgerGroup(key, c.groups), &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{
		Key: key, BodyHash: hash[:], Owner: "bench#1", Attempt: key + "#1", NowUnixMillis: time.Now().UnixMilli()}}}
}

// proposeClaim makes one claim and reports whether it was granted.
func proposeClaim(ctx context.Context, source *claimGenerator, leaders []*consensus.Host) bool {
	group, command := source.next()
	result, _, err := leaders[group].Propose(ctx, group, command)
	return err == nil && result.GetClaim().GetState() == wire.ClaimState_CLAIM_STATE_GRANTED
}

// runClosedLoop measures a number of clients, each of which makes its next claim when the last one has returned.
func (r *run) runClosedLoop(ctx context.Context, mode string, clients int, leaders []*consensus.Host) Load {
	source := &claimGenerator{prefix: fmt.Sprintf("%s-%d", mode, clients), groups: r.config.LedgerGroups}
	total := newHistogram()
	var failures atomic.Int64
	var mutex sync.Mutex
	running, loadCtx := errgroup.WithContext(ctx)
	begin := time.Now()
	end := begin.Add(r.config.Duration)
	for range clients {
		running.Go(func() error {
			clientHistogram := newHistogram()
			for sent := time.Now(); sent.Before(end) && loadCtx.Err() == nil; sent = time.Now() {
				if proposeClaim(loadCtx, source, leaders) {
					record(clientHistogram, time.Since(sent))
				} else {
					failures.Add(1)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			total.Merge(clientHistogram)
			return nil
		})
	}
	_ = running.Wait() // the clients return no error
	load := Load{Clients: clients, Mode: mode, Errors: failures.Load(), Latency: summarise(total)}
	load.CommittedPerSec = float64(total.TotalCount()) / time.Since(begin).Seconds()
	r.setSyncRatios(&load)
	return load
}

// runOpenLoop makes claims at a fixed rate, independently of when earlier claims return. Latency counts from the moment
// at which the claim was due.
func (r *run) runOpenLoop(ctx context.Context, leaders []*consensus.Host) Load {
	source := &claimGenerator{prefix: modeOpenLoop, groups: r.config.LedgerGroups}
	total := newHistogram()
	var failures atomic.Int64
	var mutex sync.Mutex
	due := make(chan time.Time, openLoopWorkers)
	running, loadCtx := errgroup.WithContext(ctx)
	for range openLoopWorkers {
		running.Go(func() error {
			workerHistogram := newHistogram()
			for dueAt := range due {
				if proposeClaim(loadCtx, source, leaders) {
					record(workerHistogram, time.Since(dueAt))
				} else {
					failures.Add(1)
				}
			}
			mutex.Lock()
			defer mutex.Unlock()
			total.Merge(workerHistogram)
			return nil
		})
	}
	begin := time.Now()
	offered := offerClaims(loadCtx, due, begin, r.config.Rate, r.config.Duration)
	close(due)
	_ = running.Wait() // the workers return no error
	elapsed := time.Since(begin).Seconds()
	load := Load{Mode: modeOpenLoop, OfferedPerSec: float64(offered) / r.config.Duration.Seconds(),
		CommittedPerSec: float64(total.TotalCount()) / elapsed, Errors: failures.Load(), Latency: summarise(total)}
	r.setSyncRatios(&load)
	return load
}

// offerInterval is how often offerClaims sends the claims that have become due since the last time.
const offerInterval = 200 * time.Microsecond

// offerClaims sends the due time of each claim to the workers until duration has passed or ctx ends, and returns the
// number of claims sent.
func offerClaims(ctx context.Context, due chan<- time.Time, begin time.Time, rate int, duration time.Duration) int {
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

// setSyncRatios sets the ratios of the load's latencies to those of bare synced writes.
func (r *run) setSyncRatios(load *Load) {
	load.P50OverSync = ratio(load.Latency.P50, r.report.BareSyncShared.P50)
	load.P99OverSync = ratio(load.Latency.P99, r.report.BareSyncShared.P50)
	load.P99OverSyncP99 = ratio(load.Latency.P99, r.report.BareSyncShared.P99)
}

// ratio returns value divided by base, rounded to two decimals, or 0 if base is 0.
func ratio(value, base float64) float64 {
	if base == 0 {
		return 0
	}
	return math.Round(100*value/base) / 100
}
