package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tamarindring/tamarindring/internal/dispatch"
	"github.com/tamarindring/tamarindring/internal/poison"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/poisonguard/poisonguardtest"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// TestRequestThatCrashesBackEndsIsSuspended guards against a request that crashes one back end after another until
// none is left. It comes about when the caller sends it again and the record of its crashes ends with each
// exchange.
func TestRequestThatCrashesBackEndsIsSuspended(t *testing.T) {
	const crashingBytes = 1000 // body size above which a request crashes the back end
	long := strings.Repeat("crash ", crashingBytes)
	for name, call := range map[string]struct {
		path, bad, good string
		repeatable      string
	}{
		"application": {"/v1/pools/push/push", `{"crash":"` + long + `"}`, `{"fine":1}`, "true"},
		"unrepeated":  {"/v1/pools/push/push", `{"crash":"` + long + `"}`, `{"fine":1}`, "false"},
		"completion":  {"/v1/completions", strings.Replace(completion(false), prompt, long, 1), completion(false), "true"},
	} {
		t.Run(name, func(t *testing.T) {
			guard, err := poisonguard.New(poisonguard.Config{Control: poisonguardtest.NoControl{}, Recorded: poisonguardtest.NotRecorded})
			if err != nil {
				t.Fatal(err)
			}
			f := newFixture(t, 0, 0, 1, func(config *Config) { config.Suspects = guard })
			var crashes atomic.Int64
			for number := range 4 {
				var one *rawBackend
				one = newRawBackend(t, func(conn net.Conn, request *http.Request, _ int64) {
					if request.ContentLength > crashingBytes {
						crashes.Add(1)
						_ = one.listener.Close()
						_ = conn.Close()
						return
					}
					writeAnswer(conn, request, "{}")
				})
				for _, pool := range []string{"copy", "push"} {
					row := fmt.Sprintf("raw-%s-%d", pool, number)
					f.cluster.change(t, [3]string{row, "kind", "backend"}, [3]string{row, "pool", pool}, [3]string{row, "address", one.listener.Addr().String()})
				}
			}
			var last answer
			for number := range 5 {
				last = f.post(t, 0, call.path, call.bad, HeaderRepeatable, call.repeatable, HeaderKey, fmt.Sprint("key-", number))
			}
			if got := crashes.Load(); got != poison.TrialCrashes {
				t.Errorf("%d back ends crashed, want %d", got, poison.TrialCrashes)
			}
			if last.status != http.StatusServiceUnavailable || !strings.Contains(last.body, dispatch.CodeSuspected) ||
				last.header.Get(verdict.Header) != verdict.DidNotRun.String() || last.header.Get(HeaderRetryAfter) == "" {
				t.Errorf("got %+v, want status 503, did-not-run and a Retry-After for suspected crashes", last)
			}
			if other := f.post(t, 0, call.path, call.good, HeaderRepeatable, call.repeatable, HeaderKey, "other"); other.status != http.StatusOK {
				t.Errorf("another request got %+v, want status 200", other)
			}
		})
	}
}
