package gateway

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/httpexample"
)

const (
	apiPage        = "../../docs/API.md"
	callersSection = "Callers"
)

// TestAPIPageExamples runs the callers' examples of docs/API.md in order, against a gateway, so that the page does
// not drift from the code.
func TestAPIPageExamples(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	examples, err := httpexample.Parse(page)
	if err != nil {
		t.Fatal(err)
	}
	f := newFixture(t, 1, 1, 1, nil)
	f.cluster.change(t, [3]string{"empty", "kind", "pool"})
	ran := 0
	for i := range examples {
		if examples[i].Section != callersSection {
			continue
		}
		ran++
		if err := examples[i].Run(http.DefaultClient, f.gateways[0].Address()); err != nil {
			t.Errorf("%s:%v", apiPage, err)
		}
	}
	if ran == 0 {
		t.Fatal("the page has no examples in the section for callers")
	}
}

// TestAPIPageListsEveryErrorCode collects the error codes from the sources and fails if docs/API.md omits one.
func TestAPIPageListsEveryErrorCode(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	codes := map[string]bool{}
	for _, file := range []string{"request.go", "handler.go", "reply.go", "authorization.go", "body.go", "../dispatch/codes.go"} {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		pattern := regexp.MustCompile(`(?:\b[cC]ode\w+ += |\bhttp\.Status\w+, )"([a-z_]+)"`)
		for _, match := range pattern.FindAllStringSubmatch(string(source), -1) {
			codes[match[1]] = true
		}
	}
	delete(codes, CodeCallerGone) // never sent to a caller
	if len(codes) < 20 {
		t.Fatalf("found %d error codes in the sources, want at least 20: %v", len(codes), codes)
	}
	for code := range codes {
		if !strings.Contains(string(page), "`"+code+"`") {
			t.Errorf("%s does not list the error code %s", apiPage, code)
		}
	}
}
