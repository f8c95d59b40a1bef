// Package fence hands out fencing tokens: numbers that rise with every change of a resource's owner. A back
// end or ledger remembers the highest token it has seen for a resource and refuses orders with a lower one,
// so that a late order of a deposed owner does nothing.
//
// The package is pure. Apply commands in log order from one goroutine.
package fence

import (
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of the registry.
const (
	// MaximumTextBytes bounds a resource, owner and request id, in bytes.
	MaximumTextBytes = 256
	// MaximumRequests bounds the requests whose tokens are remembered (a count); the oldest are forgotten
	// first. A resend of a forgotten request gets a new, higher token, which is safe.
	MaximumRequests = 10_000
	// MaximumResources bounds the resources (a count).
	MaximumResources = 100_000
)

// Unsafe switches safety steps off. Only tests set it, to show that the checks find the fault.
type Unsafe struct {
	RepeatToken bool // a new owner gets the token of the owner before
	FollowAny   bool // an acquisition displaces an owner that it does not name
}

// Registry holds the tokens of all resources. The zero value is not ready; use New.
type Registry struct {
	unsafe    Unsafe
	resources map[string]*wire.FenceRecord
	requests  map[string]*wire.FenceRequest
	order     []*wire.FenceRequest // oldest first
}

// New returns an empty registry.
func New() *Registry { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty registry with safety steps switched off.
func NewUnsafe(unsafe Unsafe) *Registry {
	return &Registry{
		unsafe: unsafe, resources: map[string]*wire.FenceRecord{}, requests: map[string]*wire.FenceRequest{},
	}
}

// Acquire makes the command's owner the owner of the resource, with a token above every earlier one. A
// resend of the request gets the token that it got before, even if the resource has another owner by now:
// that token is then stale. An acquisition that names the token it follows is refused where the resource has another
// one. Errors: malformed command, or too many resources; nothing changed.
func (r *Registry) Acquire(command *wire.FenceAcquire) (*wire.FenceResult, error) {
	for _, text := range []string{command.GetResource(), command.GetOwner(), command.GetRequestId()} {
		if text == "" || len(text) > MaximumTextBytes {
			return nil, trace.BadParameter("resource, owner and request id must have 1 to %d bytes", MaximumTextBytes)
		}
	}
	if known := r.requests[command.GetRequestId()]; known != nil {
		if known.GetResource() != command.GetResource() || known.GetOwner() != command.GetOwner() {
			return nil, trace.BadParameter("request id was used before for another resource or owner")
		}
		return &wire.FenceResult{Token: known.GetToken(), Owner: known.GetOwner()}, nil
	}
	held := r.resources[command.GetResource()]
	if command.GetIfFollows() && held.GetToken() != command.GetFollows() && !r.unsafe.FollowAny {
		return &wire.FenceResult{Token: held.GetToken(), Owner: held.GetOwner(), Refused: true}, nil
	}
	if held == nil {
		if len(r.resources) >= MaximumResources {
			return nil, trace.LimitExceeded("more than %d fenced resources", MaximumResources)
		}
		held = &wire.FenceRecord{Resource: command.GetResource()}
		r.resources[command.GetResource()] = held
	}
	if !r.unsafe.RepeatToken || held.GetToken() == 0 {
		held.Token++
	}
	held.Owner = command.GetOwner()
	r.remember(&wire.FenceRequest{
		RequestId: command.GetRequestId(), Resource: held.GetResource(), Owner: held.GetOwner(), Token: held.GetToken(),
	})
	return &wire.FenceResult{Token: held.GetToken(), Owner: held.GetOwner()}, nil
}

func (r *Registry) remember(request *wire.FenceRequest) {
	r.requests[request.GetRequestId()] = request
	r.order = append(r.order, request)
	if len(r.order) > MaximumRequests {
		delete(r.requests, r.order[0].GetRequestId())
		r.order[0] = nil
		r.order = r.order[1:]
	}
}

// Current returns the owner and token of a resource; token 0 if it never had an owner.
func (r *Registry) Current(resource string) *wire.FenceResult {
	held := r.resources[resource]
	return &wire.FenceResult{Token: held.GetToken(), Owner: held.GetOwner()}
}

// Snapshot returns the whole state. Equal registries give equal snapshots. It shares records with the
// registry: encode it before the next Acquire.
func (r *Registry) Snapshot() *wire.FenceSnapshot {
	snapshot := &wire.FenceSnapshot{Requests: r.order}
	for _, held := range r.resources {
		snapshot.Resources = append(snapshot.Resources, held)
	}
	sort.Slice(snapshot.Resources, func(i, j int) bool {
		return snapshot.Resources[i].GetResource() < snapshot.Resources[j].GetResource()
	})
	return snapshot
}

// Restore replaces the state with a snapshot's. On an error the registry is unchanged.
func (r *Registry) Restore(snapshot *wire.FenceSnapshot) error {
	restored := NewUnsafe(r.unsafe)
	for _, record := range snapshot.GetResources() {
		if record.GetResource() == "" || record.GetToken() == 0 {
			return trace.BadParameter("snapshot has a fence without a resource or token")
		}
		restored.resources[record.GetResource()] = record
	}
	for _, request := range snapshot.GetRequests() {
		if request.GetRequestId() == "" {
			return trace.BadParameter("snapshot has a fence request without an id")
		}
		restored.remember(request)
	}
	*r = *restored
	return nil
}
