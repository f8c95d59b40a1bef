// Package fence issues fencing tokens: numbers that increase with every change of a resource's owner. A back end or
// ledger remembers the highest token that it has seen for a resource and refuses orders with a lower one, so that a
// delayed order of a deposed owner has no effect.
//
// The package is pure. Apply commands in log order from one goroutine.
package fence

import (
	"sort"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Limits of the registry.
const (
	// MaximumTextBytes is the maximum length of a resource, owner or request id, in bytes.
	MaximumTextBytes = 256
	// MaximumRequests is the maximum number of requests whose tokens are remembered. The oldest are forgotten first.
	// A resend of a forgotten request gets a new, higher token, which is safe.
	MaximumRequests = 10_000
	// MaximumResources is the maximum number of resources.
	MaximumResources = 100_000
)

// Unsafe disables safety steps. Only tests set it, to show that their checks detect the resulting faults.
type Unsafe struct {
	RepeatToken bool // a new owner gets the token of the previous owner
	FollowAny   bool // an acquisition replaces the owner even if the token that it follows is not the current one
}

// Registry holds the tokens of all resources. The zero value is not usable; use New.
type Registry struct {
	unsafe       Unsafe
	resources    map[string]*wire.FenceRecord
	requests     map[string]*wire.FenceRequest
	requestOrder []*wire.FenceRequest // oldest first
}

// New returns an empty registry.
func New() *Registry { return NewUnsafe(Unsafe{}) }

// NewUnsafe returns an empty registry with the given safety steps disabled.
func NewUnsafe(unsafe Unsafe) *Registry {
	return &Registry{
		unsafe: unsafe, resources: map[string]*wire.FenceRecord{}, requests: map[string]*wire.FenceRequest{},
	}
}

// Acquire makes the command's owner the owner of the resource, with a token above every earlier one. A resend of a
// request gets the same token as before, even if the resource has another owner by now; that token is then stale. An
// acquisition that names the token that it follows is refused if the resource's current token is another one. An
// error is returned for a malformed command or too many resources; the registry is then unchanged.
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
	record := r.resources[command.GetResource()]
	if command.GetIfFollows() && record.GetToken() != command.GetFollows() && !r.unsafe.FollowAny {
		return &wire.FenceResult{Token: record.GetToken(), Owner: record.GetOwner(), Refused: true}, nil
	}
	if record == nil {
		if len(r.resources) >= MaximumResources {
			return nil, trace.LimitExceeded("more than %d fenced resources", MaximumResources)
		}
		record = &wire.FenceRecord{Resource: command.GetResource()}
		r.resources[command.GetResource()] = record
	}
	if !r.unsafe.RepeatToken || record.GetToken() == 0 {
		record.Token++
	}
	record.Owner = command.GetOwner()
	r.rememberRequest(&wire.FenceRequest{
		RequestId: command.GetRequestId(), Resource: record.GetResource(), Owner: record.GetOwner(), Token: record.GetToken(),
	})
	return &wire.FenceResult{Token: record.GetToken(), Owner: record.GetOwner()}, nil
}

func (r *Registry) rememberRequest(request *wire.FenceRequest) {
	r.requests[request.GetRequestId()] = request
	r.requestOrder = append(r.requestOrder, request)
	if len(r.requestOrder) > MaximumRequests {
		delete(r.requests, r.requestOrder[0].GetRequestId())
		r.requestOrder[0] = nil
		r.requestOrder = r.requestOrder[1:]
	}
}

// Current returns the owner and token of a resource. The token is 0 if the resource never had an owner.
func (r *Registry) Current(resource string) *wire.FenceResult {
	record := r.resources[resource]
	return &wire.FenceResult{Token: record.GetToken(), Owner: record.GetOwner()}
}

// Snapshot returns the whole state. Equal registries give equal snapshots. The snapshot shares records with the
// registry, so it must be encoded before the next Acquire.
func (r *Registry) Snapshot() *wire.FenceSnapshot {
	snapshot := &wire.FenceSnapshot{Requests: r.requestOrder}
	for _, record := range r.resources {
		snapshot.Resources = append(snapshot.Resources, record)
	}
	sort.Slice(snapshot.Resources, func(i, j int) bool {
		return snapshot.Resources[i].GetResource() < snapshot.Resources[j].GetResource()
	})
	return snapshot
}

// Restore replaces the state with that of a snapshot. If it returns an error, the registry is unchanged.
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
		restored.rememberRequest(request)
	}
	*r = *restored
	return nil
}
