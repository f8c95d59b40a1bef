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

	"github.com/tamarindring/tamarindring/internal/answerconn"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// reportTimeout bounds the report request to one back end or coordinator.
	reportTimeout = time.Second
	// maxParallelRequests bounds the report requests in flight.
	maxParallelRequests = 32
	// maxReportBytes bounds a report. A longer one fails to decode, so its sender counts as unreachable.
	maxReportBytes = 1 << 20

	loadPath  = "/v1/load"
	statsPath = "/v1/stats"
)

// Fleet holds what back ends and coordinators report about themselves.
type Fleet struct {
	Pools        []PoolStatus        `json:"pools"`
	Coordinators []CoordinatorStatus `json:"coordinators"`
	Trainers     []TrainerStatus     `json:"trainers"`
}

// PoolStatus sums up the reports of a pool's back ends.
type PoolStatus struct {
	Pool        string         `json:"pool"`
	Backends    int            `json:"backends"`
	Draining    []string       `json:"draining"`    // names of the back ends that the table drains
	Unreachable []string       `json:"unreachable"` // names of the back ends that gave no valid report within a second
	Running     int            `json:"running"`     // requests in flight at the back ends that answered
	Versions    []VersionCount `json:"versions"`    // newest first; empty for application pools
}

// VersionCount is the number of replicas that serve one weight version.
type VersionCount struct {
	Version  string `json:"version"`
	Number   uint64 `json:"number"`
	Replicas int    `json:"replicas"`
}

// CoordinatorStatus holds a coordinator's counters since its start.
type CoordinatorStatus struct {
	Name            string `json:"name"`
	Error           string `json:"error,omitempty"`  // why the coordinator did not answer
	Trainers        int    `json:"trainers"`         // trainers that the coordinator owns now
	Running         int    `json:"running"`          // samples in progress now
	StepsCompleted  uint64 `json:"steps_completed"`  // steps whose samples were all handed over
	HandedOver      uint64 `json:"handed_over"`      // samples acknowledged by their trainers
	DiscardedStale  uint64 `json:"discarded_stale"`  // samples dropped because their weight version was too old
	DiscardedTokens uint64 `json:"discarded_tokens"` // tokens generated and never handed over
	LastWaveMillis  int64  `json:"last_wave_millis"` // time that the last weight version took to reach all replicas
}

// TrainerStatus holds the measurements that the coordinator which owns a trainer has made since that trainer's first
// fetch from it.
type TrainerStatus struct {
	Trainer         string  `json:"trainer"`
	Coordinator     string  `json:"coordinator"`
	ObservedSeconds float64 `json:"observed_seconds"`
	WaitedSeconds   float64 `json:"waited_seconds"` // time inside fetches; the trainer is idle then, unless it fetches ahead while it trains
	Waiting         bool    `json:"waiting"`        // a fetch is open now
	Samples         uint64  `json:"samples"`        // acknowledged samples
	StalenessMean   float64 `json:"staleness_mean"` // in weight versions, as are the p99 and the maximum
	StalenessP99    uint64  `json:"staleness_p99"`
	StalenessMax    uint64  `json:"staleness_max"`
}

// formatIdleShare returns the share of the observed time that the trainer waited, as a percentage.
func (t TrainerStatus) formatIdleShare() string {
	if t.ObservedSeconds <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*min(t.WaitedSeconds/t.ObservedSeconds, 1))
}

// coordinatorReport is the JSON that a coordinator serves at statsPath.
type coordinatorReport struct {
	CoordinatorStatus
	TrainerStats []TrainerStatus `json:"trainer_stats"`
}

// loadReport holds the fields that status reads of a back end's load report.
type loadReport struct {
	WeightVersion string `json:"weight_version"`
	VersionNumber uint64 `json:"version_number"`
	Running       int    `json:"running"`
}

// ReadFleet queries all back ends of the table and all coordinators that have not gone. An error means that the table
// or the members could not be read; a back end or coordinator that fails is reported in the result.
func ReadFleet(ctx context.Context, control Control) (*Fleet, error) {
	sheet, err := ReadSheet(ctx, control)
	if err != nil {
		return nil, err
	}
	members, err := ReadMembers(ctx, control)
	if err != nil {
		return nil, err
	}
	return readFleet(sheet, members, authorizationHeader(control)), nil
}

// authorizationHeader returns the Authorization header that is sent to coordinators, empty if the client has none.
// Back ends never receive it.
func authorizationHeader(control Control) string {
	if authorized, ok := control.(interface{ Authorization() string }); ok {
		return authorized.Authorization()
	}
	return ""
}

func readFleet(sheet *Sheet, members []*wire.Member, authorization string) *Fleet {
	fetcher := newReportFetcher()
	fleet := &Fleet{Pools: []PoolStatus{}, Coordinators: []CoordinatorStatus{}, Trainers: []TrainerStatus{}}
	for _, row := range sheet.Rows {
		if row.Cells[table.ColumnKind].Value == string(table.Pool) {
			fleet.Pools = append(fleet.Pools, PoolStatus{Pool: row.Name, Draining: []string{}, Unreachable: []string{}, Versions: []VersionCount{}})
		}
	}
	for _, row := range sheet.Rows {
		fleet.fetchBackend(fetcher, row)
	}
	for _, member := range members {
		if member.Role == wire.MemberRole_MEMBER_ROLE_COORDINATOR && member.State != wire.MemberState_MEMBER_STATE_GONE {
			fleet.fetchCoordinator(fetcher, member, authorization)
		}
	}
	fetcher.wait()
	fleet.sort()
	return fleet
}

// reportFetcher queries many HTTP servers at once and runs the callbacks with their answers one at a time.
type reportFetcher struct {
	client   *http.Client
	slots    chan struct{}
	requests sync.WaitGroup
	mutex    sync.Mutex // held while a callback runs
}

func newReportFetcher() *reportFetcher {
	// Each server gets one request, so keeping connections alive is of no use, nor is a client with background
	// goroutines.
	transport := &answerconn.Transport{Base: &http.Transport{DisableKeepAlives: true}}
	return &reportFetcher{client: &http.Client{Transport: transport, Timeout: reportTimeout}, slots: make(chan struct{}, maxParallelRequests)}
}

func (f *reportFetcher) wait() { f.requests.Wait() }

// fetch starts reading the JSON at an address into report. When that is finished, it calls done with the error or
// nil.
func (f *reportFetcher) fetch(address, path, authorization string, report any, done func(error)) {
	f.requests.Go(func() {
		f.slots <- struct{}{}
		defer func() { <-f.slots }()
		err := f.get("http://"+address+path, authorization, report)
		f.mutex.Lock()
		defer f.mutex.Unlock()
		done(err)
	})
}

func (f *reportFetcher) get(address, authorization string, report any) error {
	request, err := http.NewRequest(http.MethodGet, address, nil)
	if err != nil {
		return err
	}
	if authorization != "" {
		request.Header.Set("Authorization", authorization)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(report)
}

// fetchBackend counts a back end in its pool and starts fetching its load report. Rows without a pool and removed
// back ends are skipped.
func (f *Fleet) fetchBackend(fetcher *reportFetcher, row Row) {
	pool := f.findPool(row.Cells[table.ColumnPool].Value)
	if pool == nil || row.Cells[table.ColumnState].Value == string(table.Removed) {
		return
	}
	fetcher.mutex.Lock()
	pool.Backends++
	if row.Cells[table.ColumnState].Value == string(table.Draining) {
		pool.Draining = append(pool.Draining, row.Name)
	}
	fetcher.mutex.Unlock()
	report := &loadReport{}
	fetcher.fetch(row.Cells[table.ColumnAddress].Value, loadPath, "", report, func(err error) {
		if err != nil {
			pool.Unreachable = append(pool.Unreachable, row.Name)
			return
		}
		pool.Running += report.Running
		if report.WeightVersion != "" {
			pool.addReplica(report)
		}
	})
}

func (f *Fleet) findPool(name string) *PoolStatus {
	for position := range f.Pools {
		if f.Pools[position].Pool == name {
			return &f.Pools[position]
		}
	}
	return nil
}

// addReplica counts a replica under the weight version that it reports.
func (p *PoolStatus) addReplica(report *loadReport) {
	for position := range p.Versions {
		if count := &p.Versions[position]; count.Version == report.WeightVersion && count.Number == report.VersionNumber {
			count.Replicas++
			return
		}
	}
	p.Versions = append(p.Versions, VersionCount{Version: report.WeightVersion, Number: report.VersionNumber, Replicas: 1})
}

// fetchCoordinator starts fetching a coordinator's counters and those of its trainers.
func (f *Fleet) fetchCoordinator(fetcher *reportFetcher, member *wire.Member, authorization string) {
	report := &coordinatorReport{}
	fetcher.fetch(member.Address, statsPath, authorization, report, func(err error) {
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

// Write prints the fleet as aligned columns. Sections without entries are left out.
func (f *Fleet) Write(out io.Writer) error {
	pools := [][]string{{"pool", "back ends", "running", "weight versions", "draining", "unreachable"}}
	for _, pool := range f.Pools {
		pools = append(pools, []string{pool.Pool, formatUint(uint64(pool.Backends)), formatUint(uint64(pool.Running)), pool.formatVersions(), joinNames(pool.Draining), joinNames(pool.Unreachable)})
	}
	coordinators := [][]string{{"coordinator", "trainers", "samples running", "steps completed", "samples handed over", "too old", "last wave ms"}}
	for _, coordinator := range f.Coordinators {
		if coordinator.Error != "" {
			coordinators = append(coordinators, []string{coordinator.Name, "no answer: " + coordinator.Error})
			continue
		}
		coordinators = append(coordinators, []string{coordinator.Name, formatUint(uint64(coordinator.Trainers)), formatUint(uint64(coordinator.Running)),
			formatUint(coordinator.StepsCompleted), formatUint(coordinator.HandedOver), formatUint(coordinator.DiscardedStale), formatUint(uint64(coordinator.LastWaveMillis))})
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
	for _, trainer := range f.Trainers {
		waiting := "no"
		if trainer.Waiting {
			waiting = "yes"
		}
		records = append(records, []string{trainer.Trainer, trainer.Coordinator, trainer.formatIdleShare(), waiting, formatUint(trainer.Samples),
			fmt.Sprintf("%.2f", trainer.StalenessMean), formatUint(trainer.StalenessP99), formatUint(trainer.StalenessMax)})
	}
	return records
}

func (p *PoolStatus) formatVersions() string {
	var texts []string
	for _, version := range p.Versions {
		texts = append(texts, fmt.Sprintf("%s: %d", version.Version, version.Replicas))
	}
	return joinNames(texts)
}

func joinNames(names []string) string { return strings.Join(names, ", ") }
