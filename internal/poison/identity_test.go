package poison

import "testing"

// TestDigestIsStableOverAttempts guards against a repeated request that is not recognised and against different
// requests with the same digest.
func TestDigestIsStableOverAttempts(t *testing.T) {
	base := func() *Identity {
		return &Identity{Tenant: "shop", Method: "POST", Host: "A.example", Path: "/join/1?x=1", Body: []byte("join"),
			Header: []Field{{"Cookie", "session=1"}, {"X-Attempt-Id", "1"}, {"Last-Event-Id", "3"}}}
	}
	want := base().Digest()
	again := base()
	again.Host = "a.example"
	again.Header = []Field{{"X-Attempt-Id", "2"}, {"X-Deadline-Ms", "900"}, {"cookie", "session=1"}}
	if got := again.Digest(); got != want {
		t.Errorf("the repeated request has digest %s, want %s", got, want)
	}
	for name, change := range map[string]func(*Identity){
		"tenant":  func(i *Identity) { i.Tenant = "" },
		"method":  func(i *Identity) { i.Method = "GET" },
		"host":    func(i *Identity) { i.Host = "b.example" },
		"path":    func(i *Identity) { i.Path = "/join/1" },
		"cookie":  func(i *Identity) { i.Header[0].Value = "session=2" },
		"key":     func(i *Identity) { i.Header[0].Name = "Authorization" },
		"body":    func(i *Identity) { i.Body = []byte("Join") },
		"no body": func(i *Identity) { i.Body = nil },
		"border":  func(i *Identity) { i.Path, i.Method = "/join/1?x=1POST", "" },
	} {
		other := base()
		change(other)
		if got := other.Digest(); got == want || got == NoDigest {
			t.Errorf("different %s: got digest %s, want another one than before, and not the zero digest", name, got)
		}
	}
}
