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

// TestDifferencesAreNoticed runs one example against servers that differ from it in one point each.
func TestDifferencesAreNoticed(t *testing.T) {
	for name, try := range map[string]struct {
		status   int
		id, body string
		right    bool
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
					t.Errorf("got %s of %q", r.URL.Path, r.Header.Get("X-Who"))
				}
				w.Header().Set("X-Id", try.id)
				w.WriteHeader(try.status)
				fmt.Fprint(w, try.body)
			}))
			defer server.Close()
			examples, err := Parse([]byte(page))
			if err != nil || len(examples) != 1 || examples[0].Section != "Things" {
				t.Fatalf("%v %v", examples, err)
			}
			err = examples[0].Run(server.Client(), strings.TrimPrefix(server.URL, "http://"))
			if (err == nil) != try.right {
				t.Fatalf("got %v", err)
			}
		})
	}
}

func TestEventsAreComparedOneByOne(t *testing.T) {
	want := "data: {\"a\":1}\n\ndata: <chunks>\n\ndata: [DONE]"
	for got, right := range map[string]bool{
		"data: {\"a\":1}\n\ndata: x\n\ndata: y\n\ndata: [DONE]\n\n": true,
		"data: {\"a\":1}\n\ndata: [DONE]\n\n":                       true,
		"data: {\"a\":1}\n\ndata: x\n\n":                            false,
		"data: {\"a\":2}\n\ndata: [DONE]\n\n":                       false,
		"":                                                          false,
	} {
		if err := compareEvents(want, got); (err == nil) != right {
			t.Errorf("%q: %v", got, err)
		}
	}
}

func TestPagesWithUnpairedBlocksAreRefused(t *testing.T) {
	for name, text := range map[string]string{
		"no answer":  "```http\nGET / HTTP/1.1\n```\n",
		"no request": "```http\nHTTP/1.1 200 OK\n```\n",
		"no end":     "```http\nGET / HTTP/1.1\n",
		"empty":      "```http\n```\n",
		"no header":  "```http\nGET / HTTP/1.1\nwhat\n\n```\n",
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}
