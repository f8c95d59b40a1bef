package httpexample

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const page = "## Things\n\n```http\nGET /thing HTTP/1.1\nX-Who: me\n\n```\n\n" +
	"```http\nHTTP/1.1 200 OK\nX-Id: a-<id>\n\n{\"id\": \"<id>\", \"n\": [1, 2.5]}\n```\n"

// TestRunReportsDifferences guards against differences between a server and its documentation that Run does not report.
// One example runs against servers whose response deviates from it in one point each.
func TestRunReportsDifferences(t *testing.T) {
	for name, testCase := range map[string]struct {
		status    int
		id, body  string
		wantMatch bool
	}{
		"as written":      {200, "a-17", `{"n":[1,2.5],"id":9}`, true},
		"status":          {201, "a-17", `{"n":[1,2.5],"id":9}`, false},
		"header":          {200, "b-17", `{"n":[1,2.5],"id":9}`, false},
		"empty variable":  {200, "a-", `{"n":[1,2.5],"id":9}`, false},
		"value":           {200, "a-17", `{"n":[1,2.6],"id":9}`, false},
		"shorter list":    {200, "a-17", `{"n":[1],"id":9}`, false},
		"missing field":   {200, "a-17", `{"id":9}`, false},
		"null variable":   {200, "a-17", `{"n":[1,2.5],"id":null}`, false},
		"field not shown": {200, "a-17", `{"n":[1,2.5],"id":9,"more":1}`, false},
		"no JSON":         {200, "a-17", `gone`, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/thing" || r.Header.Get("X-Who") != "me" {
					t.Errorf("got path %s and X-Who %q, want /thing and \"me\"", r.URL.Path, r.Header.Get("X-Who"))
				}
				w.Header().Set("X-Id", testCase.id)
				w.WriteHeader(testCase.status)
				fmt.Fprint(w, testCase.body)
			}))
			defer server.Close()
			examples, err := Parse([]byte(page))
			if err != nil || len(examples) != 1 || examples[0].Section != "Things" {
				t.Fatalf("got examples %v and error %v, want one example in section Things", examples, err)
			}
			err = examples[0].Run(server.Client(), strings.TrimPrefix(server.URL, "http://"))
			if (err == nil) != testCase.wantMatch {
				t.Fatalf("got error %v, want an error only for a response that differs", err)
			}
		})
	}
}

// TestEventsAreComparedOneByOne guards against missing, additional or different events that go unreported, also around
// the placeholder for any number of events.
func TestEventsAreComparedOneByOne(t *testing.T) {
	want := "data: {\"a\":1}\n\ndata: <chunks>\n\ndata: [DONE]"
	for got, wantMatch := range map[string]bool{
		"data: {\"a\":1}\n\ndata: x\n\ndata: y\n\ndata: [DONE]\n\n": true,
		"data: {\"a\":1}\n\ndata: [DONE]\n\n":                       true,
		"data: {\"a\":1}\n\ndata: x\n\n":                            false,
		"data: {\"a\":2}\n\ndata: [DONE]\n\n":                       false,
		"":                                                          false,
	} {
		if err := compareEvents(want, got); (err == nil) != wantMatch {
			t.Errorf("%q: got error %v, want an error only for a stream that differs", got, err)
		}
	}
}

// TestParseRejectsMalformedPages guards against examples that are skipped because their blocks are malformed or
// unpaired.
func TestParseRejectsMalformedPages(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":  "```http\nGET / HTTP/1.1\n```\n",
		"no request": "```http\nHTTP/1.1 200 OK\n```\n",
		"no end":     "```http\nGET / HTTP/1.1\n",
		"empty":      "```http\n```\n",
		"no header":  "```http\nGET / HTTP/1.1\nwhat\n\n```\n",
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: page was accepted, want an error", name)
		}
	}
}
