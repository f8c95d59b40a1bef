package coordinator

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
)

// TestTrainerWithoutNumbersIsHeldUpByItsOldOnes: a trainer that numbered its fetches starts again with lower numbers,
// then with none, while its sealed batch has become too old.
func TestTrainerWithoutNumbersIsHeldUpByItsOldOnes(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1, 1)
	f.change(t, [3]string{"copy", "staleness_bound", "0"})
	c := newCaller(t, f.coordinators[0].Address())
	c.openStep("a", 1, 2, 1)
	first := c.fetch("a", fetchBody{Cursor: 1, WholeStep: true, WaitMillis: 5000, Fetch: 5})
	if len(first.Samples) != 2 {
		t.Fatalf("%+v", first)
	}
	response, err := c.client.Post("http://"+c.address+"/v1/trainers/a/fetch", "application/json", strings.NewReader(`{"cursor": 1, "fetch": 4}`))
	must(t, err)
	var told errorBody
	must(t, json.NewDecoder(response.Body).Decode(&told))
	_ = response.Body.Close()
	if told.Error.Code != CodeSuperseded || told.Error.Fetch != 5 {
		t.Errorf("an older number: %+v", told)
	}
	f.store.Put(weightstore.Version{Version: "w1", VersionNumber: 1, Trainer: "a"})
	c.must(http.MethodPost, "/v1/trainers/a/versions", versionBody{Version: "w1", VersionNumber: 1, Pool: "copy"}, nil)
	var again fetchReply
	for len(again.Samples) == 0 {
		again = c.fetch("a", fetchBody{Cursor: 1, TrainerVersion: 1, WholeStep: true, WaitMillis: 5000})
	}
	for _, sample := range again.Samples {
		if sample.Edition == 0 || sample.Age != 0 {
			t.Errorf("%+v", sample)
		}
	}
}
