package operator

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// fleetTimeout bounds the question to one back end or coordinator.
	fleetTimeout = time.Second
	// fleetParallel bounds the questions under way.
	fleetParallel = 32
	// maxReportBytes bounds an answer; a longer one counts as none.
	maxReportBytes = 1 << 20

	loadPath  = "/v1/load"
	statsPath = "/v1/stats"
)

// Fleet is what back ends and coordinators say of themselves.
type Fleet struct {
	Pools        []PoolStatus        `json:"pools"`
	Coordinators []CoordinatorStatus `json:"coordinators"`
	Trainers     []TrainerStatus     `json:"trainers"`
}

// PoolStatus counts a pool's back ends.
type PoolStatus struct {
	Pool        string         `json:"pool"`
	Backends    int            `json:"backends"`
	Draining    []string       `json:"draining"`    // by the table, by name
	Unreachable []string       `json:"unreachable"` // no answer within a second, by name
	Running     int            `json:"running"`     // requests at those that answered
	Versions    []VersionCount `json:"versions"`    // newest first; empty for application pools
}

// VersionCount counts the replicas that serve one weight version.
type VersionCount struct {
	Version  string `json:"version"`
	Number   uint64 `json:"number"`
	Replicas int    `json:"replicas"`
}

// CoordinatorStatus is what one coordinator counts since its start.
type CoordinatorStatus struct {
	Name            string `json:"name"`
	Error           string `json:"error,omitempty"`  // why it did not answer
	Trainers        int    `json:"trainers"`         // owned now
	Running         int    `json:"running"`          // samples in work now
	StepsCompleted  uint64 `json:"steps_completed"`  // handed over wholly
	HandedOver      uint64 `json:"handed_over"`      // samples acknowledged by their trainers
	DiscardedStale  uint64 `json:"discarded_stale"`  // samples thrown away as too old
	DiscardedTokens uint64 `json:"discarded_tokens"` // generated and never handed over
	LastWaveMillis  int64  `json:"last_wave_millis"` // time of the last weight version to reach all replicas
}

// TrainerStatus is what the coordinator that owns a trainer has seen of it since its first fetch there.
type TrainerStatus struct {
	Trainer         string  `json:"trainer"`
	Coordinator     string  `json:"coordinator"`
	ObservedSeconds float64 `json:"observed_seconds"`
	WaitedSeconds   float64 `json:"waited_seconds"` // in fetches: idle, unless it fetches ahead while it trains
	Waiting         bool    `json:"waiting"`        // now
	Samples         uint64  `json:"samples"`        // acknowledged
	StalenessMean   float64 `json:"staleness_mean"` // versions
	StalenessP99    uint64  `json:"staleness_p99"`
	StalenessMax    uint64  `json:"staleness_max"`
}

// idleText is the share of the time that a trainer waited.
func (t TrainerStatus) idleText() string {
	if t.ObservedSeconds <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*min(t.WaitedSeconds/t.ObservedSeconds, 1))
}

// coordinatorReport is a coordinator's answer.
type coordinatorReport struct {
	CoordinatorStatus
	TrainerStats []TrainerStatus `json:"trainer_stats"`
}

// loadReport is what status needs of a back end's load report.
type loadReport struct {
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	Running       int    `json:"running"`
}

// ReadFleet asks all back ends of the table and all living coordinators.
func ReadFleet(ctx context.Context, control Control) (*Fleet, error) {
	sheet, err := ReadSheet(ctx, control)
	if err != nil {
		return nil, err
	}
	members, err := ReadMembers(ctx, control)
	if err != nil {
		return nil, err
	}
	return readFleet(sheet, members, authorizationOf(control)), nil
}

// authorizationOf is what the caller shows to coordinators; back ends never see it.
func authorizationOf(control Control) string {
	if shown, ok := control.(interface{ Authorization() string }); ok {
		return shown.Authorization()
	}
	return ""
}

func readFleet(sheet *Sheet, members []*wire.Member, authorization string) *Fleet {
	asker := newAsker()
	fleet := &Fleet{Pools: []PoolStatus{}, Coordinators: []CoordinatorStatus{}, Trainers: []TrainerStatus{}}
	for _, row := range sheet.Rows {
		if row.Cells[table.ColumnKind].Value == string(table.Pool) {
			fleet.Pools = append(fleet.Pools, PoolStatus{Pool: row.Name, Draining: []string{}, Unreachable: []string{}, Versions: []VersionCount{}})
		}
	}
	for _, row := range sheet.Rows {
		fleet.askBackend(asker, row)
	}
	for _, member := range members {
		if member.Role == wire.MemberRole_MEMBER_ROLE_COORDINATOR && member.State != wire.MemberState_MEMBER_STATE_GONE {
			fleet.askCoordinator(asker, member, authorization)
		}
	}
	asker.wait()
	fleet.sort()
	return fleet
}

// asker asks many HTTP servers at once; answers are handed over one at a time.
type asker struct {
	client   *http.Client
	slots    chan struct{}
	routines sync.WaitGroup
	mutex    sync.Mutex // held while an answer is handed over
}

func newAsker() *asker {
	// One question to each server: a kept connection, or a client that keeps house in the background, has no use.
	transport := &http.Transport{DisableKeepAlives: true}
	return &asker{client: &http.Client{Transport: transport, Timeout: fleetTimeout}, slots: make(chan struct{}, fleetParallel)}
}

func (a *asker) wait() { a.routines.Wait() }

// ask reads the JSON at an address into answer, then hands over whether that worked.
func (a *asker) ask(address, path, authorization string, answer any, done func(error)) {
	a.routines.Go(func() {
		a.slots <- struct{}{}
		defer func() { <-a.slots }()
		err := a.read("http://"+address+path, authorization, answer)
		a.mutex.Lock()
		defer a.mutex.Unlock()
		done(err)
	})
}

func (a *asker) read(address, authorization string, answer any) error {
	request, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(answer)
}

func (f *Fleet) askBackend(asker *asker, row Row) {
	pool := f.pool(row.Cells[table.ColumnPool].Value)
	if pool == nil || row.Cells[table.ColumnState].Value == string(table.Removed) {
		return
	}
	asker.mutex.Lock()
	pool.Backends++
	if row.Cells[table.ColumnState].Value == string(table.Draining) {
		pool.Draining = append(pool.Draining, row.Name)
	}
	asker.mutex.Unlock()
	report := &loadReport{}
	asker.ask(row.Cells[table.ColumnAddress].Value, loadPath, "", report, func(err error) {
		if err != nil {
			pool.Unreachable = append(pool.Unreachable, row.Name)
			return
		}
		pool.Running += report.Running
		if report.WeightVersion != "" {
			pool.count(report)
		}
	})
}

func (f *Fleet) pool(name string) *PoolStatus {
	for position := range f.Pools {
		if f.Pools[position].Pool == name {
			return &f.Pools[position]
		}
	}
	return nil
}

func (p *PoolStatus) count(report *loadReport) {
	for position := range p.Versions {
		if known := &p.Versions[position]; known.Version == report.WeightVersion && known.Number == report.VersionNumber {
			known.Replicas++
			return
		}
	}
	p.Versions = append(p.Versions, VersionCount{Version: report.WeightVersion, Number: report.VersionNumber, Replicas: 1})
}

func (f *Fleet) askCoordinator(asker *asker, member *wire.Member, authorization string) {
	report := &coordinatorReport{}
	asker.ask(member.Address, statsPath, authorization, report, func(err error) {
		if err != nil {
			*report = coordinatorReport{CoordinatorStatus: CoordinatorStatus{Error: err.Error()}}
		}
		report.Name = member.Name
		f.Coordinators = append(f.Coordinators, report.CoordinatorStatus)
		for _, trainer := range report.TrainerStats {
			trainer.Coordinator = member.Name
			f.Trainers = append(f.Trainers, trainer)
		}
	})
}

func (f *Fleet) sort() {
	slices.SortFunc(f.Coordinators, func(left, right CoordinatorStatus) int { return cmp.Compare(left.Name, right.Name) })
	slices.SortFunc(f.Trainers, func(left, right TrainerStatus) int {
		return cmp.Or(cmp.Compare(left.Trainer, right.Trainer), cmp.Compare(left.Coordinator, right.Coordinator))
	})
	for _, pool := range f.Pools {
		slices.Sort(pool.Unreachable)
		slices.SortFunc(pool.Versions, func(left, right VersionCount) int { return cmp.Compare(right.Number, left.Number) })
	}
}

// Write prints the fleet as aligned columns; parts without a line are left out.
func (f *Fleet) Write(out io.Writer) error {
	pools := [][]string{{"pool", "back ends", "running", "weight versions", "draining", "unreachable"}}
	for _, pool := range f.Pools {
		pools = append(pools, []string{pool.Pool, decimal(uint64(pool.Backends)), decimal(uint64(pool.Running)), pool.versionText(), join(pool.Draining), join(pool.Unreachable)})
	}
	coordinators := [][]string{{"coordinator", "trainers", "samples running", "steps completed", "samples handed over", "too old", "last wave ms"}}
	for _, one := range f.Coordinators {
		if one.Error != "" {
			coordinators = append(coordinators, []string{one.Name, "no answer: " + one.Error})
			continue
		}
		coordinators = append(coordinators, []string{one.Name, decimal(uint64(one.Trainers)), decimal(uint64(one.Running)),
			decimal(one.StepsCompleted), decimal(one.HandedOver), decimal(one.DiscardedStale), decimal(uint64(one.LastWaveMillis))})
	}
	for _, records := range [][][]string{pools, coordinators, f.trainerRecords()} {
		if len(records) == 1 {
			continue
		}
		if _, err := fmt.Fprintln(out); err != nil {
			return trace.Wrap(err)
		}
		if err := writeAligned(out, records); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (f *Fleet) trainerRecords() [][]string {
	records := [][]string{{"trainer", "coordinator", "idle", "waiting now", "samples", "staleness mean", "p99", "max"}}
	for _, one := range f.Trainers {
		waiting := "no"
		if one.Waiting {
			waiting = "yes"
		}
		records = append(records, []string{one.Trainer, one.Coordinator, one.idleText(), waiting, decimal(one.Samples),
			fmt.Sprintf("%.2f", one.StalenessMean), decimal(one.StalenessP99), decimal(one.StalenessMax)})
	}
	return records
}

func (p *PoolStatus) versionText() string {
	var texts []string
	for _, version := range p.Versions {
		texts = append(texts, fmt.Sprintf("%s: %d", version.Version, version.Replicas))
	}
	return join(texts)
}

func join(names []string) string { return strings.Join(names, ", ") }
