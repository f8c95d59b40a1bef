package answercheck

import (
	"errors"
	"net/http"
	"testing"
)

// TestSuccessNeedsNameAndSignature checks which heads count as the answer to a request: any status may answer it if the
// head names the request, and a success must be signed as well.
func TestSuccessNeedsNameAndSignature(t *testing.T) {
	expected := Expected{RequestID: "one", Signed: true}
	for _, test := range []struct {
		head Head
		want error
	}{
		{Head{Status: 200, RequestID: "one", Signature: "s"}, nil},
		{Head{Status: 204, RequestID: "one", Signature: "s"}, nil},
		{Head{Status: 404, RequestID: "one"}, nil},
		{Head{Status: 503, RequestID: "one"}, nil},
		{Head{Status: 599, RequestID: "one"}, nil},
		{Head{Status: 0, RequestID: "one", Signature: "s"}, BadStatus},
		{Head{Status: 99, RequestID: "one", Signature: "s"}, BadStatus},
		{Head{Status: 101, RequestID: "one", Signature: "s"}, BadStatus},
		{Head{Status: 600, RequestID: "one", Signature: "s"}, BadStatus},
		{Head{Status: 999, RequestID: "one", Signature: "s"}, BadStatus},
		{Head{Status: 200}, Unnamed},
		{Head{Status: 204}, Unnamed},
		{Head{Status: 404}, Unnamed},
		{Head{Status: 200, RequestID: "two", Signature: "s"}, Foreign},
		{Head{Status: 503, RequestID: "two"}, Foreign},
		{Head{Status: 200, RequestID: "one"}, Unsigned},
		{Head{Status: 204, RequestID: "one"}, Unsigned},
		{Head{Status: 200, RequestID: "one", Signature: "s", Unframed: true}, Unframed},
		{Head{Status: 503, RequestID: "one", Unframed: true}, nil},
	} {
		if got := expected.Check(test.head); !errors.Is(got, test.want) {
			t.Errorf("%+v: got %v, want %v", test.head, got, test.want)
		}
	}
	if err := (Expected{}).Check(Head{Status: 200}); err != nil {
		t.Errorf("got %v for an answer of which neither a name nor a signature is expected, want nil", err)
	}
}

// TestInterimAnswersAreBounded checks which statuses may come before the final answer, and how many.
func TestInterimAnswersAreBounded(t *testing.T) {
	for status, want := range map[int]bool{0: false, 99: false, 100: true, 101: false, 102: true, 103: true, 199: true, 200: false} {
		if got := IsInterim(status, 0); got != want {
			t.Errorf("status %d: got %t, want %t", status, got, want)
		}
	}
	if IsInterim(http.StatusProcessing, maxInterim) {
		t.Error("the number of interim answers is not bounded")
	}
}
