package replica

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"

	"github.com/tamarindring/tamarindring/internal/answercheck"
	"github.com/tamarindring/tamarindring/internal/standin/spoiled"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// fieldKinds are the kinds of spoiled answers of which a line of the head is no field.
var fieldKinds = []spoiled.Kind{spoiled.BlankInName, spoiled.BlankBeforeColon, spoiled.ControlInName, spoiled.FoldedField, spoiled.MisspelledLength,
	spoiled.MisspelledChunks}

// TestLineThatIsNoFieldIsNoAnswer guards against an answer with a field whose name is none: the line is passed on, or the
// body is read with a length or chunks that the replica did not mean. Sites with and without signatures.
func TestLineThatIsNoFieldIsNoAnswer(t *testing.T) {
	for name, names := range map[string]Names{"signed": spoiledNames(), "unsigned": testNames, "without names": {}} {
		for _, kind := range fieldKinds {
			t.Run(name+"/"+kind.String(), func(t *testing.T) {
				s := newStandinReplica(t, func(conn net.Conn, request *http.Request, _ string, _ int) bool {
					_ = spoiled.Write(conn, kind, spoiled.Names{RequestID: "Attempt", Signature: "Signed"}, request.Header.Get("Attempt"), rand.New(rand.NewPCG(1, 1)))
					return false
				})
				client := NewClient(Options{Names: names, SkipsPeer: true})
				t.Cleanup(client.Close)
				outcome, sink := do(client, s.call("one"))
				if outcome.Complete || outcome.Verdict != verdict.MayHaveRun || !errors.Is(outcome.Err, answercheck.BadField) || sink.heads != 0 {
					t.Errorf("got outcome %+v with %d heads and body %q, want no answer that may have run", outcome, sink.heads, sink.body.String())
				}
			})
		}
	}
}
