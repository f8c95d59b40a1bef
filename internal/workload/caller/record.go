package caller

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/workload"
)

const (
	largestLatency  = int64(10 * time.Minute / time.Microsecond)
	latencyDigits   = 3
	keptExamples    = 20
	microsPerMillis = 1000.0
)

// Verdicts counts calls by what was finally known of them.
type Verdicts struct {
	Ran        int `json:"ran"`
	DidNotRun  int `json:"did_not_run"`
	MayHaveRun int `json:"may_have_run"`
}

// Latency is a summary in milliseconds from the intended start of answered calls.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// SourceStats is the account of one source, or of all.
type SourceStats struct {
	Name       string   `json:"name"`
	Requests   int      `json:"requests"` // over, whatever their end
	Answered   int      `json:"answered"` // whole and right
	Refused    int      `json:"refused"`  // error answers
	Lost       int      `json:"lost"`     // nothing known after the last attempt
	Wrong      int      `json:"wrong"`    // looked whole and was not: a broken promise
	Unsent     int      `json:"unsent"`   // not sent, too many in flight
	Resent     int      `json:"resent"`   // attempts beyond the first
	Cut        int      `json:"cut"`      // attempts whose connection broke after it was made
	Tokens     int      `json:"tokens"`
	ByVerdict  Verdicts `json:"by_verdict"`
	Latency    Latency  `json:"latency"`
	FirstToken Latency  `json:"first_token"` // of streamed answers

	FailedExamples []string `json:"failed_examples,omitempty"` // the last refused or lost ones, at most 20
}

// Stats is a caller's account.
type Stats struct {
	Seconds        float64       `json:"seconds"`
	Total          SourceStats   `json:"total"`
	Live           SourceStats   `json:"live"`       // all sources that call model pools
	Operations     SourceStats   `json:"operations"` // all sources that call application pools
	Sources        []SourceStats `json:"sources"`
	Doubled        int           `json:"doubled"`         // keys sent through two gateways at once
	WrongExamples  []string      `json:"wrong_examples"`  // at most 20
	FailedExamples []string      `json:"failed_examples"` // refused or lost, at most 20
}

// Call is what a caller was finally told about one non-repeatable call.
type Call struct {
	Key       string
	Pool      string
	Operation string
	Verdict   verdict.Verdict
	Answered  bool
	Attempts  int
	Ended     time.Time
	Trail     []Attempt // every attempt in order; of a call sent twice at once, those of both
}

// Attempt is what one attempt at a non-repeatable call was told.
type Attempt struct {
	Gateway string
	Ended   time.Time
	Verdict string
	Detail  string // of a failure
}

// String is the attempt on one line.
func (a Attempt) String() string {
	return fmt.Sprintf("%s %s: %s %s", a.Ended.Format("15:04:05.000"), a.Gateway, a.Verdict, a.Detail)
}

// sourceRecord accumulates one source.
type sourceRecord struct {
	stats      SourceStats
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

func newSourceRecord(name string) *sourceRecord {
	return &sourceRecord{
		stats:      SourceStats{Name: name},
		latency:    hdrhistogram.New(1, largestLatency, latencyDigits),
		firstToken: hdrhistogram.New(1, largestLatency, latencyDigits),
	}
}

// recorder is the account of all sources.
type recorder struct {
	mutex    sync.Mutex
	began    time.Time
	ended    time.Time
	total    *sourceRecord
	services map[workload.Service]*sourceRecord
	sources  map[string]*sourceRecord
	order    []string
	doubles  int
	wrongs   []string
	failures []string
	keep     int
	kept     []Call
}

func newRecorder(config Config) *recorder {
	made := &recorder{
		total: newSourceRecord("total"), sources: make(map[string]*sourceRecord), keep: config.KeepCalls,
		services: map[workload.Service]*sourceRecord{
			workload.ServiceEngine: newSourceRecord("live"), workload.ServiceApplication: newSourceRecord("operations"),
		},
	}
	for _, source := range config.Workload.Sources {
		made.sources[source.Name] = newSourceRecord(source.Name)
		made.order = append(made.order, source.Name)
	}
	return made
}

func (r *recorder) begin(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.began = now
}

func (r *recorder) finish(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = now
}

// of lists the records that a source's calls count in.
func (r *recorder) of(source *workload.Source) [3]*sourceRecord {
	return [3]*sourceRecord{r.total, r.services[source.Service], r.sources[source.Name]}
}

func (r *recorder) unsent(source *workload.Source) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range r.of(source) {
		record.stats.Unsent++
	}
}

func (r *recorder) doubled(prepared *preparedCall, first, second result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.doubles++
	for _, one := range []result{first, second} {
		if one.kind == wrong {
			r.wrongs = keepExample(r.wrongs, prepared.key+": "+one.detail)
		}
	}
}

// done records a call that is over.
func (r *recorder) done(prepared *preparedCall, last result, intended time.Time) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range r.of(prepared.source) {
		record.add(last, intended, now)
	}
	switch last.kind {
	case wrong:
		r.wrongs = keepExample(r.wrongs, prepared.source.Name+" "+prepared.key+": "+last.detail)
	case refused, lost:
		example := prepared.source.Name + " " + prepared.key + ": " + last.verdict.String() + ": " + last.detail
		r.failures = keepExample(r.failures, example)
		own := r.sources[prepared.source.Name]
		own.stats.FailedExamples = append(own.stats.FailedExamples[max(0, len(own.stats.FailedExamples)-keptExamples+1):], example)
	}
	if prepared.key != "" && len(r.kept) < r.keep {
		r.kept = append(r.kept, Call{
			Key: prepared.key, Pool: prepared.source.Pool, Operation: prepared.source.Operation, Verdict: last.verdict,
			Answered: last.kind == answered, Attempts: last.attempts, Ended: now, Trail: last.trail,
		})
	}
}

func keepExample(examples []string, example string) []string {
	if len(examples) >= keptExamples {
		return examples
	}
	return append(examples, example)
}

func (s *sourceRecord) add(last result, intended, now time.Time) {
	s.stats.Requests++
	s.stats.Resent += last.attempts - 1
	s.stats.Cut += last.cuts
	s.stats.Tokens += last.tokens
	switch last.verdict {
	case verdict.Ran:
		s.stats.ByVerdict.Ran++
	case verdict.DidNotRun:
		s.stats.ByVerdict.DidNotRun++
	default:
		s.stats.ByVerdict.MayHaveRun++
	}
	switch last.kind {
	case answered:
		s.stats.Answered++
		recordLatency(s.latency, now.Sub(intended))
		if !last.firstToken.IsZero() {
			recordLatency(s.firstToken, last.firstToken.Sub(intended))
		}
	case refused:
		s.stats.Refused++
	case lost:
		s.stats.Lost++
	case wrong:
		s.stats.Wrong++
	}
}

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), largestLatency))
}

func (s *sourceRecord) summary() SourceStats {
	summary := s.stats
	summary.FailedExamples = slices.Clone(summary.FailedExamples)
	summary.Latency = summarize(s.latency)
	summary.FirstToken = summarize(s.firstToken)
	return summary
}

func summarize(histogram *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / microsPerMillis }
	return Latency{
		P50: millis(histogram.ValueAtQuantile(50)), P99: millis(histogram.ValueAtQuantile(99)),
		P999: millis(histogram.ValueAtQuantile(99.9)), Max: millis(histogram.Max()),
	}
}

func (r *recorder) stats() Stats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ended := r.ended
	if ended.IsZero() {
		ended = time.Now()
	}
	stats := Stats{
		Total: r.total.summary(), Live: r.services[workload.ServiceEngine].summary(),
		Operations: r.services[workload.ServiceApplication].summary(), Doubled: r.doubles, WrongExamples: append([]string{}, r.wrongs...),
		FailedExamples: append([]string{}, r.failures...),
	}
	if !r.began.IsZero() {
		stats.Seconds = ended.Sub(r.began).Seconds()
	}
	for _, name := range r.order {
		stats.Sources = append(stats.Sources, r.sources[name].summary())
	}
	return stats
}

func (r *recorder) calls() []Call {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Call(nil), r.kept...)
}
