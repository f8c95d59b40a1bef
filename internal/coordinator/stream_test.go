package coordinator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/rollout"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestScanAgreesWithDecode fails if scan and decode read different values from a chunk that an engine might send.
func TestScanAgreesWithDecode(t *testing.T) {
	scanned := 0
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.StringMatching(`[a-z:,éß ]{1,30}`)
		if rapid.Bool().Draw(t, "hostile") {
			words = rapid.StringMatching(`[a-z"\\{}:,\[\]éß ]{0,30}`)
		}
		choice := map[string]any{
			"text": words.Draw(t, "text"), "finish_reason": nil, "weight_version": words.Draw(t, "version"),
			"version_number": rapid.Uint32().Draw(t, "number"), "token_offset": rapid.Uint16().Draw(t, "offset"),
			"token_count": rapid.Uint16().Draw(t, "count"),
		}
		if rapid.Bool().Draw(t, "moved") {
			choice["replica"] = words.Draw(t, "replica")
		}
		if rapid.IntRange(0, 9).Draw(t, "lacks") == 0 {
			delete(choice, rapid.SampledFrom([]string{"text", "weight_version", "version_number", "finish_reason"}).Draw(t, "field"))
		}
		data, err := json.Marshal(map[string]any{"id": words.Draw(t, "id"), "choices": []any{choice}})
		if err != nil {
			t.Fatal(err)
		}
		var quick, full chunkChoice
		quick.Replica, quick.WeightVersion = "earlier", "earlier"
		if !quick.scan(data) {
			return
		}
		scanned++
		if err := full.decode(data); err != nil || quick != full {
			t.Fatalf("%s: scanned %+v, decoded %+v, %v", data, quick, full, err)
		}
	})
	if scanned == 0 {
		t.Error("scan accepted no chunk, so the test shows nothing")
	}
}

// TestTruncatedOrInconsistentStreamIsAccepted fails if a stream that is cut off, has a gap or contradicts its checksum
// counts as a complete answer.
func TestTruncatedOrInconsistentStreamIsAccepted(t *testing.T) {
	const (
		start = `data: {"choices":[{"index":0,"text":"a ","finish_reason":null,"weight_version":"v","version_number":1,"token_offset":0,"token_count":1}]}` + "\n\n"
		gap   = `data: {"choices":[{"index":0,"text":"b ","finish_reason":null,"weight_version":"v","version_number":1,"token_offset":2,"token_count":1}]}` + "\n\n"
		last  = `data: {"choices":[{"index":0,"text":"","finish_reason":"stop","token_offset":1,"token_count":0}]}` + "\n\n"
		wrong = `data: {"choices":[{"index":0,"text":"","finish_reason":"stop","token_offset":1,"token_count":0,"checksum":"00"}]}` + "\n\n"
		fault = `data: {"error":{"message":"the request was failed","code":"failed"}}` + "\n\n"
		done  = "data: [DONE]\n\n"
	)
	for name, stream := range map[string]struct {
		body  string
		whole bool
	}{
		"whole": {start + last + done, true}, "no end mark": {start + last, false}, "no finish reason": {start + done, false},
		"gap": {start + gap + last + done, false}, "repeated": {start + start + last + done, false},
		"error": {start + fault, false}, "error before the end": {start + fault + last + done, false},
		"other checksum": {start + wrong + done, false}, "half an event": {start + last[:30], false}, "empty": {"", false},
	} {
		s, one := newTestRun()
		err := s.readStream(one, &http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader(stream.body))})
		if (err == nil) != stream.whole {
			t.Errorf("%s: unexpected result, error %v", name, err)
		}
	}
}

// newTestRun returns a run at a server without listener, session or peers.
func newTestRun() (*Server, *run) {
	s := &Server{pools: map[string]*pool{}}
	s.config.Policy = rollout.Paced{}
	p := s.pool("copy")
	one := &run{id: rollout.SampleID{Trainer: "a", Step: 1, Prompt: "p"}, pool: p, partial: &partial{}, context: context.Background(),
		slot: &deliverySlot{prompt: &wire.Prompt{Text: "x"}}}
	p.running[one.id] = one
	return s, one
}
