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

// Run sends the example's request to the server at address, an IP:port, and returns how the answer differs
// from the page's, or nil.
func (e *Example) Run(client *http.Client, address string) error {
	method, path, found := strings.Cut(e.Request.Start, " ")
	if !found {
		return fmt.Errorf("line %d: %q is no request line", e.Request.Line, e.Request.Start)
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
		return fmt.Errorf("line %d: reading the answer: %w", e.Request.Line, err)
	}
	if err := e.compare(response, string(body)); err != nil {
		return fmt.Errorf("line %d: %w\nthe server answered:\n%s\n%v\n\n%s", e.Answer.Line, err, response.Status, response.Header, body)
	}
	return nil
}

func (e *Example) compare(response *http.Response, body string) error {
	if got, want := response.Status, strings.TrimPrefix(e.Answer.Start, answerMark); got != want {
		return fmt.Errorf("status %q, the page has %q", got, want)
	}
	for name, values := range e.Answer.Header {
		got := response.Header.Get(name)
		if !textPattern(values[0]).MatchString(got) {
			return fmt.Errorf("header %s is %q, the page has %q", name, got, values[0])
		}
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		return compareEvents(e.Answer.Body, body)
	}
	return compareBodies(e.Answer.Body, body)
}

var placeholder = regexp.MustCompile(`<[a-z _]+>`)

// textPattern makes a pattern of a text with placeholders.
func textPattern(text string) *regexp.Regexp {
	pattern := "^"
	end := 0
	for _, span := range placeholder.FindAllStringIndex(text, -1) {
		pattern += regexp.QuoteMeta(text[end:span[0]]) + "(?s:.+)"
		end = span[1]
	}
	return regexp.MustCompile(pattern + regexp.QuoteMeta(text[end:]) + "$")
}

// compareBodies compares JSON by value and anything else as text.
func compareBodies(want, got string) error {
	wanted, wantIsJSON := decode(want)
	found, gotIsJSON := decode(got)
	if wantIsJSON && gotIsJSON {
		return compareValues("", wanted, found)
	}
	if !textPattern(strings.TrimSpace(want)).MatchString(strings.TrimSpace(got)) {
		return fmt.Errorf("the bodies differ, the page has %q", want)
	}
	return nil
}

func decode(text string) (any, bool) {
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.UseNumber()
	var value any
	if decoder.Decode(&value) != nil {
		return nil, false
	}
	return value, !decoder.More()
}

// compareValues returns the first difference of two JSON values and where it is.
func compareValues(place string, want, got any) error {
	if text, ok := want.(string); ok && placeholder.FindString(text) == text && text != "" {
		if got == nil {
			return fmt.Errorf("%s is null, the page has %s", place, text)
		}
		return nil
	}
	switch wanted := want.(type) {
	case map[string]any:
		return compareObjects(place, wanted, got)
	case []any:
		found, ok := got.([]any)
		if !ok || len(found) != len(wanted) {
			return fmt.Errorf("%s is %v, the page has %d items", place, got, len(wanted))
		}
		for i := range wanted {
			if err := compareValues(fmt.Sprintf("%s[%d]", place, i), wanted[i], found[i]); err != nil {
				return err
			}
		}
		return nil
	}
	if !reflect.DeepEqual(want, got) {
		return fmt.Errorf("%s is %v, the page has %v", place, got, want)
	}
	return nil
}

func compareObjects(place string, want map[string]any, got any) error {
	found, ok := got.(map[string]any)
	if !ok {
		return fmt.Errorf("%s is %v, the page has an object", place, got)
	}
	for name := range found {
		if _, shown := want[name]; !shown {
			return fmt.Errorf("%s.%s is not on the page", place, name)
		}
	}
	for name, value := range want {
		item, present := found[name]
		if !present {
			return fmt.Errorf("%s.%s is missing", place, name)
		}
		if err := compareValues(place+"."+name, value, item); err != nil {
			return err
		}
	}
	return nil
}

const anyEvents = "data: <chunks>"

// compareEvents compares two texts of server-sent events, event by event.
func compareEvents(want, got string) error {
	wanted, found := splitEvents(want), splitEvents(got)
	for i, event := range wanted {
		if event == anyEvents {
			rest := len(wanted) - i - 1
			if len(found) < rest {
				return fmt.Errorf("the stream has %d events left, the page has %d", len(found), rest)
			}
			found = found[len(found)-rest:]
			continue
		}
		if len(found) == 0 {
			return fmt.Errorf("the stream ends before %q", event)
		}
		if err := compareBodies(strings.TrimPrefix(event, "data: "), strings.TrimPrefix(found[0], "data: ")); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
		found = found[1:]
	}
	if len(found) > 0 {
		return fmt.Errorf("the stream goes on with %q", found[0])
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
