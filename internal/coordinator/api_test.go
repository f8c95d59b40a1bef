package coordinator

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/httpexample"
	"github.com/tamarindring/tamarindring/internal/standin/weightstore"
)

const (
	apiPage         = "../../docs/API.md"
	trainersSection = "Trainers"
)

// TestExamplesOfTheAPIPageAreTrue runs the trainers' examples of docs/API.md in order and fails if the coordinator's
// answers differ from the documented ones.
func TestExamplesOfTheAPIPageAreTrue(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	must(t, err)
	examples, err := httpexample.Parse(page)
	must(t, err)
	f := newLeasedFixture(t, longLease, 1, 1)
	f.store.Put(weightstore.Version{Version: "wording-1", VersionNumber: 1, Trainer: "wording"})
	client := &http.Client{}
	defer client.CloseIdleConnections()
	ran := 0
	for i := range examples {
		if examples[i].Section != trainersSection {
			continue
		}
		ran++
		if err := examples[i].Run(client, f.coordinators[0].Address()); err != nil {
			t.Errorf("%s:%v", apiPage, err)
		}
	}
	if ran == 0 {
		t.Fatal("the page has no examples in section Trainers")
	}
}

// TestAPIPageListsEveryErrorCode fails if an error code in the source is missing from the documentation.
func TestAPIPageListsEveryErrorCode(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	must(t, err)
	source, err := os.ReadFile("wire.go")
	must(t, err)
	codes := regexp.MustCompile(`(?m)^\tCode\w+ += "([a-z_]+)"`).FindAllStringSubmatch(string(source), -1)
	if len(codes) < 8 {
		t.Fatalf("found %d error codes in wire.go, want at least 8", len(codes))
	}
	_, trainers, _ := strings.Cut(string(page), "## "+trainersSection)
	for _, code := range codes {
		if !strings.Contains(trainers, "`"+code[1]+"`") {
			t.Errorf("%s does not document the error code %s for trainers", apiPage, code[1])
		}
	}
}
