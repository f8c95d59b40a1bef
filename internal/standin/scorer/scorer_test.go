package scorer

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/servertest"
)

// TestScoresAreFunctionsOfTheText checks that scores depend only on prompt and text, in both forms of the request, and
// that every scoring of a sample is counted.
func TestScoresAreFunctionsOfTheText(t *testing.T) {
	server, err := New(Config{Listen: "127.0.0.1:0", Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	servertest.Run(t, server)
	for body, samples := range map[string]int{
		`{"samples":[{"id":"a","prompt":"p","text":"t"},{"id":"b","prompt":"p","text":"u"}]}`: 2,
		`{"id":"a","prompt":"p","text":"t"}`:                                                  1,
	} {
		response, err := http.Post("http://"+server.Address()+"/v1/score", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		var answer Answer
		err = json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
		if err != nil || len(answer.Scores) != samples {
			t.Fatalf("body %s: answer %+v, error %v, want one score for each sample", body, answer, err)
		}
		if answer.Score != Score("p", "t") || answer.Scores[0] != answer.Score {
			t.Errorf("body %s: answer %+v, want the score of the first sample as Score", body, answer)
		}
	}
	if server.Scored("a") != 2 {
		t.Errorf("sample a was scored %d times, want 2", server.Scored("a"))
	}
}
