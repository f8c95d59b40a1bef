package weights

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/registry"
	"github.com/tamarindring/tamarindring/internal/replica"
	"github.com/tamarindring/tamarindring/internal/table"
)

const (
	// surveyConcurrency bounds the replicas that are queried at the same time. With it, surveys of 114 to 127 replicas
	// took 24 to 60 ms on idle machines, and 315 to 690 ms on a machine that had just started.
	surveyConcurrency = 32
	// maxSurveyed bounds the replicas of one survey. The others report by heartbeat within the heartbeat interval.
	// Querying 3,000 replicas one after the other kept a new leader busy for 2 to 5 s, in which it lost its
	// leadership.
	maxSurveyed = 256
	// surveyTimeout bounds the request to a single replica, and so the delay that unresponsive replicas cause.
	surveyTimeout = 300 * time.Millisecond
	// surveyRetryDelay is the time after which a replica that has neither answered nor sent a heartbeat is queried
	// again.
	surveyRetryDelay = time.Second
)

// Survey queries up to maxSurveyed replicas for their status and returns the weight versions of those that answered,
// by instance. Replicas that fail to answer or serve no model are omitted.
func Survey(ctx context.Context, sender Sender, targets []replica.Target) map[string][]registry.ModelVersion {
	targets = targets[:min(len(targets), maxSurveyed)]
	var mutex sync.Mutex
	found := make(map[string][]registry.ModelVersion, len(targets))
	var requests errgroup.Group
	requests.SetLimit(surveyConcurrency)
	for _, target := range targets {
		requests.Go(func() error {
			limited, cancel := context.WithTimeout(ctx, surveyTimeout)
			defer cancel()
			report, err := sender.Report(limited, target, "")
			if err != nil || len(report.Models) == 0 {
				return nil // the next heartbeat will report the versions
			}
			mutex.Lock()
			defer mutex.Unlock()
			found[target.Instance] = report.Models
			return nil
		})
	}
	_ = requests.Wait() // the functions return no errors
	return found
}

// survey queries the replicas that have not reported during this leadership, in the background. Heartbeats carry the
// same information, but the last one arrives a full interval later. Until then items are sent to replicas whose
// weights turn out to be too old: logs of a fleet of 128 replicas showed 57 to 560 such runs in the first four
// seconds of a new leader.
func (d *Driver) survey(ctx context.Context, view *table.View) {
	if d.surveyRunning.Load() {
		return // one survey at a time; replicas registered since its start are queried by the next one
	}
	targets, anyReported := d.nextSurveyTargets(view)
	tenure := d.tenure
	if len(targets) == 0 {
		if anyReported && d.surveyedTenure.Load() != tenure && !d.surveyStarted {
			d.markSurveyed(tenure)
		}
		return
	}
	d.surveyStarted = true
	d.surveyRunning.Store(true)
	d.background.Go(func() {
		defer d.surveyRunning.Store(false)
		began := d.config.Clock()
		found := Survey(ctx, d.config.Sender, targets)
		for instance, models := range found {
			d.recordReport(instance, models)
		}
		d.markSurveyed(tenure)
		logging.Emit(d.config.Log, &events.ReplicasSurveyed{Asked: len(targets), Answered: len(found), TookMs: events.Millis(d.config.Clock() - began)})
		d.RequestVersionRead()
	})
}

// markSurveyed records that the replicas were surveyed in the given leadership. The number never decreases, so the
// late end of an earlier survey has no effect.
func (d *Driver) markSurveyed(tenure uint64) {
	for known := d.surveyedTenure.Load(); known < tenure; known = d.surveyedTenure.Load() {
		if d.surveyedTenure.CompareAndSwap(known, tenure) {
			return
		}
	}
}

// nextSurveyTargets returns up to maxSurveyed active replicas, of pools that hold models, that have not reported
// during this leadership and were not queried within surveyRetryDelay. It records them as queried. anyReported
// reports whether any replica has ever reported, without which no such pool is known.
func (d *Driver) nextSurveyTargets(view *table.View) (targets []replica.Target, anyReported bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.config.Clock()
	for pool := range d.modelPools {
		for _, row := range view.Backends(pool) {
			last, surveyed := d.surveyedAt[row.Instance]
			if row.State != table.Active || d.reported[row.Instance] || surveyed && now < last+surveyRetryDelay {
				continue
			}
			if len(targets) == maxSurveyed {
				return targets, true
			}
			d.surveyedAt[row.Instance] = now
			targets = append(targets, replica.Target{Instance: row.Instance, Address: row.Address})
		}
	}
	return targets, len(d.modelPools) > 0
}

// recordReport merges the reported versions of an instance with those already known. Versions of an instance only
// increase, so the higher number is the newer one whatever the order of the reports.
func (d *Driver) recordReport(instance string, models []registry.ModelVersion) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.reported[instance] = true
	known, listed := d.reportedVersions[instance]
	merged := make([]registry.ModelVersion, 0, len(models))
	for _, one := range models {
		for _, other := range known {
			if other.Model == one.Model {
				one.Number = max(one.Number, other.Number)
			}
		}
		merged = append(merged, one)
	}
	d.reportedVersions[instance] = merged
	if !listed || !slices.Equal(known, merged) {
		d.toReview[instance] = true
	}
}

// resetSurvey makes the next leadership survey the replicas again, since earlier reports may be long out of date.
func (d *Driver) resetSurvey() {
	if d.surveyStarted || d.surveyedTenure.Load() == d.tenure {
		d.tenure++
		d.surveyStarted = false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	clear(d.reported)
	clear(d.surveyedAt)
}
