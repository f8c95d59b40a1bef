package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/coordinator"
	"github.com/tamarindring/tamarindring/internal/rolecost"
	"github.com/tamarindring/tamarindring/internal/standin/trainer"
)

const (
	// trainersLimit is the time that trainers have for the steps that are open when the load ends.
	trainersLimit   = 30 * time.Second
	loseReplyShare  = 0.05
	trainerFetch    = time.Second
	trainerMaxBatch = 16
)

// rollouts contains the coordinators and the trainers that use them.
type rollouts struct {
	fleet        *fleet
	coordinators []*process[*coordinator.Server]
	trainers     []*trainer.Trainer
	cancel       context.CancelFunc
	running      sync.WaitGroup
}

func newRollouts(f *fleet) *rollouts {
	made := &rollouts{fleet: f}
	for index := range f.config.Deployment.Coordinators {
		part := &process[*coordinator.Server]{name: fmt.Sprintf("coordinator-%d", index+1), zone: f.config.Deployment.zone(index), cable: newCable()}
		part.open = func(ctx context.Context, listener net.Listener) (*coordinator.Server, error) {
			return f.openCoordinator(ctx, part, listener)
		}
		made.coordinators = append(made.coordinators, part)
	}
	return made
}

// start starts the coordinators and the trainer.
func (r *rollouts) start(ctx context.Context) error {
	if err := startAll(ctx, r.coordinators); err != nil {
		return err
	}
	return r.startTrainer(trainer.NewEngineLogs(servers(r.fleet.engines)...))
}

func servers[S server](parts []*process[S]) []S {
	var all []S
	for _, part := range parts {
		all = append(all, part.current)
	}
	return all
}

// startTrainer runs a trainer that compares its samples with what the engines generated.
func (r *rollouts) startTrainer(checker trainer.SampleChecker) error {
	made, err := r.newTrainer(checker)
	if err != nil {
		return err
	}
	r.trainers = append(r.trainers, made)
	running, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	for _, one := range r.trainers {
		r.running.Go(func() {
			rolecost.Do(running, "trainer", func(ctx context.Context) {
				if err := one.Run(ctx); err != nil {
					r.fleet.log("trainer").WithError(err).Error("trainer ended")
				}
			})
		})
	}
	return nil
}

func (r *rollouts) newTrainer(checker trainer.SampleChecker) (*trainer.Trainer, error) {
	f := r.fleet
	shape := f.config.Deployment.Trainer
	var addresses []string
	for _, part := range r.coordinators {
		addresses = append(addresses, part.address)
	}
	return trainer.New(trainer.Config{Name: "trainer-1", Coordinators: addresses, Pool: poolModel, PromptsPerStep: shape.Prompts,
		SamplesPerPrompt: shape.SamplesPerPrompt, MaxTokens: shape.MaxTokens, TrainTime: shape.TrainTime, StepsAhead: shape.StepsAhead,
		MaxSamples: trainerMaxBatch, FetchWait: trainerFetch, InitialVersionNumber: initialVersion, WeightStore: f.store.address,
		LoseReplyProbability: loseReplyShare, StalenessBound: f.evidence.table.largestBound, Checker: checker,
		Seed: uint64(f.config.Seed), Log: f.log("trainer")})
}

// restartFirst drains and restarts the first coordinator.
func (r *rollouts) restartFirst(ctx context.Context) error {
	return restart(ctx, r.coordinators[0])
}

// finish lets the trainers end their open steps, and cancels them after trainersLimit.
func (r *rollouts) finish() {
	for _, one := range r.trainers {
		one.Finish()
	}
	over := make(chan struct{})
	go func() {
		r.running.Wait()
		close(over)
	}()
	timer := time.NewTimer(trainersLimit)
	defer timer.Stop()
	select {
	case <-over:
	case <-timer.C:
		r.cancel()
		<-over
	}
}

// stop stops the trainers and the coordinators.
func (r *rollouts) stop(ctx context.Context) []error {
	if r.cancel != nil {
		r.cancel()
	}
	r.running.Wait()
	return stopAll(ctx, r.coordinators)
}

// discarded returns the number of generated tokens that the coordinators discarded.
func (r *rollouts) discarded() uint64 {
	var total uint64
	for _, part := range r.coordinators {
		part.each(func(one *coordinator.Server) { total += one.Stats().DiscardedTokens })
	}
	return total
}

// openCoordinator opens a coordinator that reaches the control nodes over the cable of its part.
func (f *fleet) openCoordinator(ctx context.Context, part *process[*coordinator.Server], listener net.Listener) (*coordinator.Server, error) {
	return coordinator.Open(ctx, coordinator.Config{Name: part.name, Listener: listener, Zone: part.zone,
		Control: f.controlConfig(part.name, part.cable), Scorer: f.scorer.address, WeightStore: f.store.address, Log: f.log(part.name)})
}
