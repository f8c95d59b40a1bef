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
	maxLatencyMicros           = int64(10 * time.Minute / time.Microsecond)
	latencySignificantDigits   = 3
	maxExamples                = 20
	microsecondsPerMillisecond = 1000.0
)

// Verdicts counts calls by their final verdict.
type Verdicts struct {
	Ran        int `json:"ran"`
	DidNotRun  int `json:"did_not_run"`
	MayHaveRun int `json:"may_have_run"`
}

// Latency summarizes the latency of answered calls from their intended start, in milliseconds.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// SourceStats holds the statistics of one source or of a set of sources.
type SourceStats struct {
	Name       string   `json:"name"`
	Requests   int      `json:"requests"` // completed calls, with any outcome
	Answered   int      `json:"answered"` // complete and correct answers
	Refused    int      `json:"refused"`  // error responses
	Lost       int      `json:"lost"`     // outcome unknown after the last attempt
	Wrong      int      `json:"wrong"`    // presented as complete but incorrect, which gateways must prevent
	Unsent     int      `json:"unsent"`   // not sent because too many calls were in flight
	Resent     int      `json:"resent"`   // attempts beyond the first
	Cut        int      `json:"cut"`      // attempts whose established connection broke
	Tokens     int      `json:"tokens"`
	ByVerdict  Verdicts `json:"by_verdict"`
	Latency    Latency  `json:"latency"`
	FirstToken Latency  `json:"first_token"` // of streamed answers

	FailedExamples []string `json:"failed_examples,omitempty"` // the last 20 rejected or lost calls
}

// Stats holds the statistics of a caller.
type Stats struct {
	Seconds        float64       `json:"seconds"`
	Total          SourceStats   `json:"total"`
	Live           SourceStats   `json:"live"`       // all sources that call model pools
	Operations     SourceStats   `json:"operations"` // all sources that call application pools
	Sources        []SourceStats `json:"sources"`
	Doubled        int           `json:"doubled"`         // keys sent through two gateways concurrently
	WrongExamples  []string      `json:"wrong_examples"`  // the first 20
	FailedExamples []string      `json:"failed_examples"` // the first 20 rejected or lost calls
}

// Call is the final outcome of one non-repeatable call, as known to the caller.
type Call struct {
	Key       string
	Pool      string
	Operation string
	Verdict   verdict.Verdict
	Answered  bool
	Attempts  int
	Ended     time.Time
	Trail     []Attempt // all attempts in order; if sent twice, the first send before the second
}

// Attempt is the outcome of one attempt of a non-repeatable call.
type Attempt struct {
	Gateway string
	Ended   time.Time
	Verdict string
	Detail  string // reason of a failure
}

// String formats the attempt on one line.
func (a Attempt) String() string {
	return fmt.Sprintf("%s %s: %s %s", a.Ended.Format("15:04:05.000"), a.Gateway, a.Verdict, a.Detail)
}

// sourceRecord accumulates the statistics of a source or a set of sources.
type sourceRecord struct {
	stats      SourceStats
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
}

func newSourceRecord(name string) *sourceRecord {
	return &sourceRecord{
		stats:      SourceStats{Name: name},
		latency:    hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
		firstToken: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits),
	}
}

// recorder accumulates the statistics of all sources. It is safe for concurrent use.
type recorder struct {
	mutex              sync.Mutex
	startedAt          time.Time
	endedAt            time.Time
	total              *sourceRecord
	services           map[workload.Service]*sourceRecord
	sources            map[string]*sourceRecord
	sourceNames        []string
	doubledCalls       int
	wrongExamples      []string
	failedExamples     []string
	maxRememberedCalls int
	rememberedCalls    []Call
}

func newRecorder(config Config) *recorder {
	created := &recorder{
		total: newSourceRecord("total"), sources: make(map[string]*sourceRecord), maxRememberedCalls: config.KeepCalls,
		services: map[workload.Service]*sourceRecord{
			workload.ServiceEngine: newSourceRecord("live"), workload.ServiceApplication: newSourceRecord("operations"),
		},
	}
	for _, source := range config.Workload.Sources {
		created.sources[source.Name] = newSourceRecord(source.Name)
		created.sourceNames = append(created.sourceNames, source.Name)
	}
	return created
}

func (r *recorder) start(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.startedAt = now
}

func (r *recorder) finish(now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.endedAt = now
}

// recordsOf returns the records in which calls of a source are counted.
func (r *recorder) recordsOf(source *workload.Source) [3]*sourceRecord {
	return [3]*sourceRecord{r.total, r.services[source.Service], r.sources[source.Name]}
}

func (r *recorder) recordUnsent(source *workload.Source) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range r.recordsOf(source) {
		record.stats.Unsent++
	}
}

func (r *recorder) recordDoubled(prepared *preparedCall, first, second result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.doubledCalls++
	for _, one := range []result{first, second} {
		if one.kind == resultWrong {
			r.wrongExamples = appendExample(r.wrongExamples, prepared.key+": "+one.detail)
		}
	}
}

// recordCall records a completed call.
func (r *recorder) recordCall(prepared *preparedCall, last result, intended time.Time) {
	now := time.Now()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, record := range r.recordsOf(prepared.source) {
		record.addCall(last, intended, now)
	}
	switch last.kind {
	case resultWrong:
		r.wrongExamples = appendExample(r.wrongExamples, prepared.source.Name+" "+prepared.key+": "+last.detail)
	case resultRejected, resultLost:
		example := prepared.source.Name + " " + prepared.key + ": " + last.verdict.String() + ": " + last.detail
		r.failedExamples = appendExample(r.failedExamples, example)
		own := r.sources[prepared.source.Name]
		own.stats.FailedExamples = append(own.stats.FailedExamples[max(0, len(own.stats.FailedExamples)-maxExamples+1):], example)
	}
	if prepared.key != "" && len(r.rememberedCalls) < r.maxRememberedCalls {
		r.rememberedCalls = append(r.rememberedCalls, Call{
			Key: prepared.key, Pool: prepared.source.Pool, Operation: prepared.source.Operation, Verdict: last.verdict,
			Answered: last.kind == resultAnswered, Attempts: last.attempts, Ended: now, Trail: last.trail,
		})
	}
}

func appendExample(examples []string, example string) []string {
	if len(examples) >= maxExamples {
		return examples
	}
	return append(examples, example)
}

func (s *sourceRecord) addCall(last result, intended, now time.Time) {
	s.stats.Requests++
	s.stats.Resent += last.attempts - 1
	s.stats.Cut += last.brokenConnections
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
	case resultAnswered:
		s.stats.Answered++
		recordLatency(s.latency, now.Sub(intended))
		if !last.firstToken.IsZero() {
			recordLatency(s.firstToken, last.firstToken.Sub(intended))
		}
	case resultRejected:
		s.stats.Refused++
	case resultLost:
		s.stats.Lost++
	case resultWrong:
		s.stats.Wrong++
	}
}

func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
}

func (s *sourceRecord) summarize() SourceStats {
	summary := s.stats
	summary.FailedExamples = slices.Clone(summary.FailedExamples)
	summary.Latency = summarizeHistogram(s.latency)
	summary.FirstToken = summarizeHistogram(s.firstToken)
	return summary
}

func summarizeHistogram(histogram *hdrhistogram.Histogram) Latency {
	millis := func(micros int64) float64 { return float64(micros) / microsecondsPerMillisecond }
	return Latency{
		P50: millis(histogram.ValueAtQuantile(50)), P99: millis(histogram.ValueAtQuantile(99)),
		P999: millis(histogram.ValueAtQuantile(99.9)), Max: millis(histogram.Max()),
	}
}

func (r *recorder) stats() Stats {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ended := r.endedAt
	if ended.IsZero() {
		ended = time.Now()
	}
	stats := Stats{
		Total: r.total.summarize(), Live: r.services[workload.ServiceEngine].summarize(),
		Operations: r.services[workload.ServiceApplication].summarize(), Doubled: r.doubledCalls,
		WrongExamples: append([]string{}, r.wrongExamples...), FailedExamples: append([]string{}, r.failedExamples...),
	}
	if !r.startedAt.IsZero() {
		stats.Seconds = ended.Sub(r.startedAt).Seconds()
	}
	for _, name := range r.sourceNames {
		stats.Sources = append(stats.Sources, r.sources[name].summarize())
	}
	return stats
}

func (r *recorder) calls() []Call {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Call(nil), r.rememberedCalls...)
}
