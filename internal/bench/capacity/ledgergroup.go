package capacity

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tamarindring/tamarindring/internal/bench/rig"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// ledgerGroups and controlNodes of the measured cluster. The target assumes as many groups.
	ledgerGroups = 16
	controlNodes = 3
	// callersAtOnce bounds the commands in flight of a load.
	callersAtOnce  = 512
	commandTimeout = 10 * time.Second
	// roleCaller is the role of the load's own goroutines.
	roleCaller = "caller"
)

// ledgerGroup is a control group under a load of ledger commands.
type ledgerGroup struct {
	control *rig.Control
	client  *controlclient.Client
}

func startLedgerGroup(folder string) (*ledgerGroup, error) {
	control, err := rig.StartControl(rig.Options{Nodes: controlNodes, Folder: folder, LedgerGroups: ledgerGroups})
	if err != nil {
		return nil, err
	}
	client, err := controlclient.New(controlclient.Config{Addresses: control.Addresses, LedgerGroups: ledgerGroups})
	if err != nil {
		control.Close()
		return nil, err
	}
	return &ledgerGroup{control: control, client: client}, nil
}

func (g *ledgerGroup) close() {
	_ = g.client.Close()
	g.control.Close()
}

// execute runs one command in the group of key.
func (g *ledgerGroup) execute(ctx context.Context, key string, command *wire.Command) (*wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return g.client.Execute(ctx, g.client.ClaimGroup(key), command)
}

// load runs count jobs, rate of them a second (as fast as it goes when rate is 0), and measures them.
func (g *ledgerGroup) load(ctx context.Context, count, rate int, job func(ctx context.Context, n int) error) (LedgerPoint, error) {
	traffic, disk := g.control.Bytes(), g.control.WrittenBytes()
	recorder, err := rolecost.Start()
	if err != nil {
		return LedgerPoint{}, err
	}
	var failures atomic.Int64
	began := time.Now()
	rolecost.Do(ctx, roleCaller, func(ctx context.Context) {
		var running errgroup.Group
		running.SetLimit(callersAtOnce)
		for n := 0; n < count && ctx.Err() == nil; n++ {
			if rate > 0 {
				time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
			}
			running.Go(func() error {
				if job(ctx, n) != nil {
					failures.Add(1)
				}
				return nil
			})
		}
		_ = running.Wait() // jobs count their failures
	})
	took := time.Since(began).Seconds()
	cost, err := recorder.Stop()
	if err != nil {
		return LedgerPoint{}, err
	}
	return LedgerPoint{Count: count, Seconds: took, PerSecond: float64(count) / took, ControlCores: cost.Apportioned(rig.RoleControl),
		ProcessCores: cost.TotalCores, ControlBytes: float64(g.control.Bytes() - traffic), DiskBytes: float64(g.control.WrittenBytes() - disk),
		LiveBytes: rig.LiveBytes(), Failures: int(failures.Load())}, ctx.Err()
}
