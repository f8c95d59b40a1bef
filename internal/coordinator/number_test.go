package coordinator

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
)

// TestUnnumberedFetchIsBlockedByEarlierNumberedFetch fails if a trainer that numbered its fetches and then stops doing
// so can no longer get its batch. The sealed batch has become too stale, and the trainer first fetches with a lower
// number, then with none.
func TestUnnumberedFetchIsBlockedByEarlierNumberedFetch(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, 1)
	f.change(t, [3]string{"copy", "staleness_bound", "0"})
	c := newCaller(t, f.coordinators[0].Address())
	c.openStep("a", 1, 2, 1)
	first := c.fetch("a", fetchBody{Cursor: 1, WholeStep: true, WaitMillis: 5000, Fetch: 5})
	if len(first.Samples) != 2 {
		t.Fatalf("first fetch: got %+v, want 2 samples", first)
	}
	response, err := c.client.Post("http://"+c.address+"/v1/trainers/a/fetch", "application/json", strings.NewReader(`{"cursor": 1, "fetch": 4}`))
	must(t, err)
	var rejection errorBody
	must(t, json.NewDecoder(response.Body).Decode(&rejection))
	_ = response.Body.Close()
	if rejection.Error.Code != CodeSuperseded || rejection.Error.Fetch != 5 {
		t.Errorf("fetch with a lower number: got %+v, want code superseded with fetch 5", rejection)
	}
	f.store.Put(weightstore.Version{Version: "w1", VersionNumber: 1, Trainer: "a"})
	c.must(http.MethodPost, "/v1/trainers/a/versions", versionBody{Version: "w1", VersionNumber: 1, Pool: "copy"}, nil)
	var again fetchReply
	for len(again.Samples) == 0 {
		again = c.fetch("a", fetchBody{Cursor: 1, TrainerVersion: 1, WholeStep: true, WaitMillis: 5000})
	}
	for _, sample := range again.Samples {
		if sample.Edition == 0 || sample.Age != 0 {
			t.Errorf("sample %+v was not regenerated", sample)
		}
	}
}
