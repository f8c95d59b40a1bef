package answercheck

import (
	"errors"
	"regexp"
	"strings"
	"testing"
)

const soundHead = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Odd: a, b;c=\"d\"\t\xe4\r\nEmpty:\r\n\r\n"

// TestHeadWithLinesThatAreNoFieldsIsNoAnswer guards against heads that HTTP libraries read in different ways: of which a
// line is passed on, or whose body gets another length.
func TestHeadWithLinesThatAreNoFieldsIsNoAnswer(t *testing.T) {
	for _, test := range []struct {
		head string
		want error
	}{
		{soundHead, nil},
		{"HTTP/1.0 404\r\n\r\n", nil},
		{"HTTP/1.1 200 OK\nA: b\n\n", nil},
		{"HTTP/1.1 100 Continue\r\n\r\n" + soundHead, nil},
		{"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX Odd: v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\n\r\nX Odd: body\r\n", nil},
		{"HTTP/1.1 200 OK\r\nX Odd: v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-Odd : v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-O\x01dd: v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-O\tdd: v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-\xe4: v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-Odd: v\x00\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-Odd: v\rw\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-Odd: v\r\n folded: w\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\n X-Odd: v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\n: v\r\n\r\n", BadField},
		{"HTTP/1.1 200 OK\r\nX-Odd\r\n\r\n", BadField},
		{"HTTP/1.1 200 O\x01K\r\n\r\n", BadField},
		{"HTTP/1.1 20x OK\r\n\r\n", BadStatus},
		{"HTTP/1.1 000 OK\r\n\r\n", BadStatus},
		{"HTTP/1.1 099 OK\r\n\r\n", BadStatus},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n", BadStatus},
		{"HTTP/1.1 600 OK\r\n\r\n", BadStatus},
		{"HTTP/1.1 2000 OK\r\n\r\n", BadStatus},
		{"HTTP/1.1  200 OK\r\n\r\n", BadStatus},
		{"HTTP/2.0 200 OK\r\n\r\n", BadStatus},
		{"\r\nHTTP/1.1 200 OK\r\n\r\n", BadStatus},
		{"ICY 200 OK\r\n\r\n", BadStatus},
	} {
		for pieceBytes := 1; pieceBytes <= len(test.head); pieceBytes++ {
			if got := scanInPieces(test.head, pieceBytes); !errors.Is(got, test.want) {
				t.Fatalf("%q in pieces of %d bytes: got %v, want %v", test.head, pieceBytes, got, test.want)
			}
		}
	}
}

// scanInPieces scans a text in pieces of some bytes.
func scanInPieces(text string, pieceBytes int) (err error) {
	var scanner HeadScanner
	for len(text) > 0 && err == nil {
		next := min(pieceBytes, len(text))
		err = scanner.Scan([]byte(text[:next]))
		text = text[next:]
	}
	return err
}

var (
	statusLinePattern = regexp.MustCompile(`^HTTP/1\.[0-9] [2-5][0-9]{2}( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldPattern      = regexp.MustCompile("^[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*$")
)

// FuzzHeadScanner checks that the scanner accepts a head exactly if each of its lines has the form that RFC 9112 gives, and
// that it doesn't matter in which pieces the head arrives.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte(soundHead), 3)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX Odd: v\r\n\r\n"), 1)
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length : 5\r\nA: b\r\n\r\n"), 7)
	f.Add([]byte("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 204 No\r\nA:\tb\r\n\r\n"), 5)
	f.Fuzz(func(t *testing.T, data []byte, pieceBytes int) {
		err := scanInPieces(string(data), len(data)+1)
		if got := scanInPieces(string(data), 1+max(pieceBytes, 0)%64); !errors.Is(got, err) {
			t.Fatalf("%q: got %v in pieces, and %v at once", data, got, err)
		}
		head, whole := finalHead(string(data))
		if !whole {
			return
		}
		lines := strings.Split(head, "\n")
		sound := statusLinePattern.MatchString(strings.TrimSuffix(lines[0], "\r"))
		for _, line := range lines[1:] {
			sound = sound && fieldPattern.MatchString(strings.TrimSuffix(line, "\r"))
		}
		if sound != (err == nil) {
			t.Errorf("%q: got %v for a head that is sound: %t", head, err, sound)
		}
	})
}

// finalHead returns the lines of a first head that is not interim, without the empty line after them. whole is false if
// there is none.
func finalHead(text string) (head string, whole bool) {
	end := regexp.MustCompile(`\n\r?\n`).FindStringIndex(text)
	if end == nil || strings.HasPrefix(text, "HTTP/1.") && len(text) > statusPosition && text[statusPosition] == '1' {
		return "", false
	}
	return text[:end[0]], true
}

// TestTextsThatBreakARequestAreFound checks which texts may stand in a request's head: none that would begin another field
// or request.
func TestTextsThatBreakARequestAreFound(t *testing.T) {
	for name, want := range map[string]bool{"X-Odd": true, "x_1": true, "": false, "X Odd": false, "X-Odd ": false, "X:": false, "X\r\nY": false, "\xe4": false} {
		if IsFieldName(name) != want {
			t.Errorf("name %q: got %t, want %t", name, !want, want)
		}
	}
	for value, want := range map[string]bool{"": true, "a b\t\xe4": true, "a\r\nb": false, "a\nb": false, "a\rb": false, "\x00": false, "\x7f": false} {
		if IsFieldValue(value) != want {
			t.Errorf("value %q: got %t, want %t", value, !want, want)
		}
	}
	for target, want := range map[string]bool{"/": true, "/a%20b?c=\xe4": true, "": false, "a": false, "/a b": false, "/a\r\n": false, "/a\t": false} {
		if IsRequestTarget(target) != want {
			t.Errorf("target %q: got %t, want %t", target, !want, want)
		}
	}
}
