package answercheck

import (
	"errors"
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
		{Head{Status: 200}, Unnamed},
		{Head{Status: 204}, Unnamed},
		{Head{Status: 404}, Unnamed},
		{Head{Status: 200, RequestID: "two", Signature: "s"}, Foreign},
		{Head{Status: 503, RequestID: "two"}, Foreign},
		{Head{Status: 200, RequestID: "one"}, Unsigned},
		{Head{Status: 204, RequestID: "one"}, Unsigned},
	} {
		if got := expected.Check(test.head); !errors.Is(got, test.want) {
			t.Errorf("%+v: got %v, want %v", test.head, got, test.want)
		}
	}
	if err := (Expected{}).Check(Head{Status: 200}); err != nil {
		t.Errorf("got %v for an answer of which neither a name nor a signature is expected, want nil", err)
	}
}
