package httpexample

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"regexp"
	"strings"
)

// Run sends the example's request to the server at address, in the form host:port. It returns an error that describes
// the first difference between the server's response and the documented one, or nil when they match.
func (e *Example) Run(client *http.Client, address string) error {
	method, path, found := strings.Cut(e.Request.StartLine, " ")
	if !found {
		return fmt.Errorf("line %d: %q is not a request line", e.Request.Line, e.Request.StartLine)
	}
	path, _, _ = strings.Cut(path, " ")
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(e.Request.Body))
	if err != nil {
		return fmt.Errorf("line %d: %w", e.Request.Line, err)
	}
	request.Header = e.Request.Header.Clone()
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("line %d: %w", e.Request.Line, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("line %d: reading the response: %w", e.Request.Line, err)
	}
	if err := e.compareResponse(response, string(body)); err != nil {
		return fmt.Errorf("line %d: %w\nthe server responded:\n%s\n%v\n\n%s", e.Response.Line, err, response.Status, response.Header, body)
	}
	return nil
}

func (e *Example) compareResponse(response *http.Response, body string) error {
	if got, want := response.Status, strings.TrimPrefix(e.Response.StartLine, statusLinePrefix); got != want {
		return fmt.Errorf("got status %q, the page has %q", got, want)
	}
	for name, values := range e.Response.Header {
		got := response.Header.Get(name)
		if !compileTextPattern(values[0]).MatchString(got) {
			return fmt.Errorf("got header %s with value %q, the page has %q", name, got, values[0])
		}
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return compareEvents(e.Response.Body, body)
	}
	return compareBodies(e.Response.Body, body)
}

var placeholder = regexp.MustCompile(`<[a-z _]+>`)

// compileTextPattern returns a pattern that matches the whole of text, with any non-empty text for each placeholder.
func compileTextPattern(text string) *regexp.Regexp {
	pattern := "^"
	end := 0
	for _, span := range placeholder.FindAllStringIndex(text, -1) {
		pattern += regexp.QuoteMeta(text[end:span[0]]) + "(?s:.+)"
		end = span[1]
	}
	return regexp.MustCompile(pattern + regexp.QuoteMeta(text[end:]) + "$")
}

// compareBodies compares by value if both bodies are JSON, and as text with placeholders otherwise.
func compareBodies(want, got string) error {
	wanted, wantIsJSON := decodeJSON(want)
	found, gotIsJSON := decodeJSON(got)
	if wantIsJSON && gotIsJSON {
		return compareValues("", wanted, found)
	}
	if !compileTextPattern(strings.TrimSpace(want)).MatchString(strings.TrimSpace(got)) {
		return fmt.Errorf("bodies differ, the page has %q", want)
	}
	return nil
}

// decodeJSON decodes text and reports whether it is exactly one JSON value.
func decodeJSON(text string) (any, bool) {
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return nil, false
	}
	return value, !decoder.More()
}

// compareValues returns an error that describes the first difference between two JSON values at path, or nil.
func compareValues(path string, want, got any) error {
	if text, ok := want.(string); ok && placeholder.FindString(text) == text && text != "" {
		if got == nil {
			return fmt.Errorf("%s: got null, the page has %s", path, text)
		}
		return nil
	}
	switch wanted := want.(type) {
	case map[string]any:
		return compareObjects(path, wanted, got)
	case []any:
		found, ok := got.([]any)
		if !ok || len(found) != len(wanted) {
			return fmt.Errorf("%s: got %v, the page has an array of length %d", path, got, len(wanted))
		}
		for i := range wanted {
			if err := compareValues(fmt.Sprintf("%s[%d]", path, i), wanted[i], found[i]); err != nil {
				return err
			}
		}
		return nil
	}
	if !reflect.DeepEqual(want, got) {
		return fmt.Errorf("%s: got %v, the page has %v", path, got, want)
	}
	return nil
}

func compareObjects(path string, want map[string]any, got any) error {
	found, ok := got.(map[string]any)
	if !ok {
		return fmt.Errorf("%s: got %v, the page has an object", path, got)
	}
	for name := range found {
		if _, documented := want[name]; !documented {
			return fmt.Errorf("%s.%s is not on the page", path, name)
		}
	}
	for name, value := range want {
		item, present := found[name]
		if !present {
			return fmt.Errorf("%s.%s is missing", path, name)
		}
		if err := compareValues(path+"."+name, value, item); err != nil {
			return err
		}
	}
	return nil
}

// anyEvents is the placeholder line for any number of events, including none.
const anyEvents = "data: <chunks>"

// compareEvents compares two streams of server-sent events one event at a time. Events must follow each other in the
// order of want, and none may be left over.
func compareEvents(want, got string) error {
	wanted, found := splitEvents(want), splitEvents(got)
	for i, event := range wanted {
		if event == anyEvents {
			remaining := len(wanted) - i - 1
			if len(found) < remaining {
				return fmt.Errorf("got %d remaining events, the page has %d", len(found), remaining)
			}
			found = found[len(found)-remaining:]
			continue
		}
		if len(found) == 0 {
			return fmt.Errorf("the stream ended before event %q", event)
		}
		if err := compareBodies(strings.TrimPrefix(event, "data: "), strings.TrimPrefix(found[0], "data: ")); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
		found = found[1:]
	}
	if len(found) > 0 {
		return fmt.Errorf("the stream continues with %q after the last event of the page", found[0])
	}
	return nil
}

func splitEvents(text string) []string {
	text = strings.TrimSpace(text)
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n\n")
}
