package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a replica began to work on.
type run struct {
	replica, attempt, path string
	began                  time.Time
	ended                  time.Time // zero: it runs
	from, made             int       // events of a stream
	whole                  bool      // a whole answer was sent
	status                 int
}

// runLog holds the runs of all replicas.
type runLog struct {
	mutex sync.Mutex
	runs  []*run
}

func (l *runLog) begin(one *run) *run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	one.began = time.Now()
	l.runs = append(l.runs, one)
	return one
}

func (l *runLog) change(change func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change()
}

// of returns copies of the runs of an attempt.
func (l *runLog) of(attempt string) (found []run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, one := range l.runs {
		if one.attempt == attempt {
			found = append(found, *one)
		}
	}
	return found
}

// all returns copies of all runs.
func (l *runLog) all() (found []run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, one := range l.runs {
		found = append(found, *one)
	}
	return found
}

// replica is a stand-in for a replica of a service.
type replica struct {
	w           *world
	id, service string
	zone        string
	born        int64
	slots       chan struct{}
	server      *http.Server
	listener    net.Listener
	stop        context.CancelFunc
	beating     sync.WaitGroup
	work        time.Duration // of a request of the application
	events      int           // of a stream
	eventPause  time.Duration

	mutex    sync.Mutex
	seq      int
	named    string // address for the next heartbeat
	known    bool   // a heartbeat was acknowledged
	version  uint64
	loading  bool
	orders   uint64
	fence    uint64
	gone     bool
	refuses  func(request *http.Request) bool                               // reports whether a request is rejected as by a full replica; nil: none
	dark     chan struct{}                                                  // closed when the replica ends; nil: it is not dark
	answerBy func(w http.ResponseWriter, r *http.Request, body []byte) bool // takes over the answer to a request that runs; nil: none
}

// addReplica starts a replica.
func (w *world) addReplica(id, service string, slots int) *replica {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.network, 200+len(w.replicas)))
	must(err)
	return w.startReplica(id, service, slots, zones[len(w.replicas)%len(zones)], listener)
}

// startReplica starts a replica at a listener.
func (w *world) startReplica(id, service string, slots int, zone string, listener net.Listener) *replica {
	ctx, cancel := context.WithCancel(context.Background())
	one := &replica{w: w, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), listener: listener, stop: cancel,
		work: 25 * time.Millisecond, events: 10, eventPause: 40 * time.Millisecond, version: 1}
	one.server = &http.Server{Handler: one, IdleTimeout: time.Minute}
	go func() { _ = one.server.Serve(listener) }()
	one.beating.Go(func() { one.heartbeats(ctx) })
	w.startingReplicas.Lock()
	defer w.startingReplicas.Unlock()
	w.replicas = append(w.replicas, one)
	return one
}

// close ends the replica without a word, as a crash does.
func (r *replica) close() {
	r.stop()
	r.beating.Wait()
	_ = r.server.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.dark != nil && !r.gone {
		close(r.dark)
	}
	r.gone = true
}

func (r *replica) heartbeats(ctx context.Context) {
	for next := 0; ctx.Err() == nil; {
		pause := heartbeatTime
		if !r.heartbeat(ctx, next) {
			next++
			pause = 50 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// heartbeat sends one heartbeat to the address that the last answer named, or to the next control node.
func (r *replica) heartbeat(ctx context.Context, next int) bool {
	r.mutex.Lock()
	r.seq++
	to := r.named
	if to == "" {
		to = r.w.controls[next%len(r.w.controls)].address(controlPort)
	}
	message := map[string]any{"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": cap(r.slots),
		"state": "ready", "cold_ms": 0, "seq": r.seq, "born": r.born}
	if r.service == modelService {
		message["stage"], message["models"] = "mixed", []any{map[string]any{"name": modelName, "version": r.version, "adapters": []string{}}}
	}
	r.mutex.Unlock()
	body, err := json.Marshal(message)
	must(err)
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	got := call(limited, http.MethodPost, "http://"+to+"/-/instances/"+r.id+"/heartbeat", "", nil, body)
	var told struct {
		Address string `json:"heartbeat_addr"`
	}
	taken := got.status == http.StatusOK && json.Unmarshal(got.body, &told) == nil
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.named, r.known = told.Address, r.known || taken
	return taken
}

func (r *replica) isKnown() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.known
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.mutex.Lock()
	dark := r.dark
	r.mutex.Unlock()
	if dark != nil {
		<-dark // says nothing
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if target := request.Header.Get("X-Target-Instance"); target != "" && target != r.id {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/-/report":
		r.report(w)
	case "/-/order":
		r.order(w, request)
	case "/healthz":
		w.Header().Set("X-Instance-Id", r.id)
	default:
		r.request(w, request, attempt)
	}
}

// reject answers that a request did not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

func (r *replica) report(w http.ResponseWriter) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(w, `{"stage":"mixed","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":%t,"seq":%d,"queued":0,"running":%d,"kv_used":0,"kv_total":90000,"handles":0,"born":%d}`,
		modelName, r.version, r.loading, r.orders, len(r.slots), r.born)
}

// order takes an order to load a version of the model.
func (r *replica) order(w http.ResponseWriter, request *http.Request) {
	var order struct {
		Version, Fence uint64
		Expected       *uint64
	}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case order.Fence < r.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
	case r.loading || order.Expected != nil && *order.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
	case order.Version == r.version:
		r.fence = order.Fence
	default:
		r.fence, r.loading, r.orders = order.Fence, true, r.orders+1
		w.WriteHeader(http.StatusAccepted)
		time.AfterFunc(900*time.Millisecond, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.version, r.loading = order.Version, false
		})
	}
}

// request runs a request if a slot is free.
func (r *replica) request(w http.ResponseWriter, request *http.Request, attempt string) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if attempt == "" {
		reject(w, http.StatusBadRequest)
		return
	}
	if r.refuses != nil && r.refuses(request) {
		r.w.refusals.Add(1)
		reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		reject(w, http.StatusServiceUnavailable)
		return
	}
	r.mutex.Lock()
	version, answerBy := r.version, r.answerBy
	r.mutex.Unlock()
	if expected := request.Header.Get("X-Expected-Version"); expected != "" && expected != strconv.FormatUint(version, 10) {
		reject(w, http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp."+r.id+"."+attempt)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(r.slots), cap(r.slots)))
	made := r.w.runs.begin(&run{replica: r.id, attempt: attempt, path: request.URL.RequestURI()})
	defer r.w.runs.change(func() { made.ended = time.Now() })
	if answerBy != nil && answerBy(w, request, body) {
		return
	}
	if r.service == modelService {
		r.stream(w, request, made, version)
		return
	}
	time.Sleep(r.work)
	answer := []byte("answer to " + attempt + " ")
	answer = append(answer, bytes.Repeat([]byte("x"), 800)...)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
	r.w.runs.change(func() { made.whole, made.status = true, http.StatusOK })
}

// eventData returns the data of an event of an item.
func eventData(attempt string, number int) string { return fmt.Sprintf("%s-%d", attempt, number) }

// wholeText returns the text of an item.
func wholeText(attempt string, events int) string {
	lines := make([]string, 0, events)
	for number := range events {
		lines = append(lines, eventData(attempt, number))
	}
	return strings.Join(lines, "\n")
}

// stream answers with events, after the one that the request names.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, made *run, version uint64) {
	from := 0
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		from = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	r.w.runs.change(func() { made.from, made.made = from, from })
	for number := from; number < r.events; number++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(r.eventPause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, eventData(made.attempt, number))
		if flusher.Flush() != nil {
			return
		}
		r.w.runs.change(func() { made.made = number + 1 })
	}
	r.w.runs.change(func() { made.whole, made.status = true, http.StatusOK })
}
