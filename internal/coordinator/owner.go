package coordinator

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/release"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Names under which the control group issues fencing tokens.
func trainerResource(name string) string { return "trainer/" + name }
func poolResource(name string) string    { return release.Resource(name) }

// candidate is a live coordinator that can own resources.
type candidate struct {
	name    string
	address string
}

// candidates returns the live coordinators sorted by name. It includes this one once the control group lists it.
func (s *Server) candidates() []candidate {
	var all []candidate
	for _, member := range s.session.Members().GetMembers() {
		if member.GetRole() == wire.MemberRole_MEMBER_ROLE_COORDINATOR && member.GetState() == wire.MemberState_MEMBER_STATE_ALIVE {
			all = append(all, candidate{name: member.GetName(), address: member.GetAddress()})
		}
	}
	slices.SortFunc(all, func(first, second candidate) int { return strings.Compare(first.name, second.name) })
	return all
}

// ownerOf returns the live coordinator that should own a resource, by rendezvous hashing: when a coordinator joins or
// leaves, only the resources that it gains or loses move. The name is empty when no coordinator is live.
func (s *Server) ownerOf(resource string) candidate {
	return chooseOwner(resource, s.candidates())
}

func chooseOwner(resource string, candidates []candidate) candidate {
	var best candidate
	bestScore := uint64(0)
	for _, one := range candidates {
		if score := ownerScore(resource, one.name); best.name == "" || score > bestScore {
			best, bestScore = one, score
		}
	}
	return best
}

func ownerScore(resource, name string) uint64 { return xxhash.Sum64String(resource + "\x00" + name) }

// owns reports whether this coordinator should own a resource.
func (s *Server) owns(resource string) bool { return s.ownerOf(resource).name == s.config.Name }

// redirectToOwner returns a redirect if another coordinator should own the resource, and nil if this one should. It
// returns an unavailable error if no coordinator is listed as live.
func (s *Server) redirectToOwner(resource string, request *http.Request) *refusal {
	owner := s.ownerOf(resource)
	if owner.name == s.config.Name {
		return nil
	}
	if owner.name == "" {
		return unavailable(CodeUnavailable, "the control group does not list this coordinator yet; ask again")
	}
	s.mutex.Lock()
	s.stats.Redirected++
	s.mutex.Unlock()
	return &refusal{status: http.StatusTemporaryRedirect, code: CodeOtherOwner, message: "ask coordinator " + owner.name,
		location: "http://" + owner.address + request.URL.EscapedPath()}
}

// acquire makes this coordinator the owner of a resource and returns its fencing token.
func (s *Server) acquire(ctx context.Context, resource string) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	result, err := s.client.Execute(ctx, controlclient.ControlGroup, &wire.Command{Kind: &wire.Command_FenceAcquire{
		FenceAcquire: &wire.FenceAcquire{Resource: resource, Owner: s.session.Owner(), RequestId: s.newRequestID()}}})
	if err != nil {
		return 0, err
	}
	if result.GetFence().GetToken() == 0 {
		return 0, trace.BadParameter("the control group gave no token for %s: %s", resource, result.GetInvalid())
	}
	return result.GetFence().GetToken(), nil
}

// adopt returns the state of a trainer and takes the trainer over first if it is not owned yet. Concurrent calls for
// one trainer share one takeover.
func (s *Server) adopt(ctx context.Context, name string) (*trainerState, error) {
	s.mutex.Lock()
	known := s.trainers[name]
	s.mutex.Unlock()
	if known != nil {
		return known, nil
	}
	results := s.adoptions.DoChan(name, func() (any, error) { return s.takeOver(s.context, name) })
	select {
	case result := <-results:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*trainerState), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// takeOver acquires a trainer's fencing token and publishes it to the ledger before it reads the ledger. From then on
// the ledger rejects commands of a previous owner, so the state that was read cannot change underneath.
func (s *Server) takeOver(ctx context.Context, name string) (*trainerState, error) {
	s.mutex.Lock()
	known := s.trainers[name]
	s.mutex.Unlock()
	if known != nil {
		return known, nil
	}
	token, err := s.acquire(ctx, trainerResource(name))
	if err != nil {
		return nil, err
	}
	t := &trainerState{name: name, group: s.client.ClaimGroup(name), fence: token, changed: make(chan struct{}),
		partials: map[string]*partial{}}
	if err := s.publishFence(ctx, t); err != nil {
		return nil, err
	}
	view, err := s.readTrainer(ctx, name)
	if err != nil {
		return nil, err
	}
	if err := s.readTexts(ctx, view); err != nil {
		return nil, err
	}
	t.delivery = newDelivery(view)
	t.context, t.cancel = context.WithCancel(s.context)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.trainers[name] = t
	if len(t.delivery.steps) > 0 {
		s.stats.Takeovers++
		s.config.Log.Infof("took over trainer %s: %d open steps, fencing token %d", name, len(t.delivery.steps), token)
	}
	s.restorePartials(t)
	for _, step := range t.delivery.steps {
		t.lastOpened = step.open.GetStep()
		s.scheduleStep(t, step)
	}
	s.wake()
	return t, nil
}

// publishFence makes the ledger record the trainer's fencing token. It discards a slot that no step has, which changes
// nothing else.
func (s *Server) publishFence(ctx context.Context, t *trainerState) error {
	nonexistent := ledger.SlotID{Trainer: t.name, Prompt: "-"}
	_, err := s.execute(ctx, t, &wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: &wire.BatchDiscard{
		Trainer: t.name, SampleIds: []string{nonexistent.String()}, Editions: []uint32{0}, Fence: t.fence}}})
	return err
}

// readTrainer reads a trainer's state from the ledger, without the text of its samples.
func (s *Server) readTrainer(ctx context.Context, name string) (*wire.TrainerView, error) {
	return s.queryTrainer(ctx, &wire.TrainerQuery{Trainer: name})
}

func (s *Server) queryTrainer(ctx context.Context, query *wire.TrainerQuery) (*wire.TrainerView, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	view, err := s.client.Query(ctx, s.client.ClaimGroup(query.GetTrainer()), &wire.Query{Kind: &wire.Query_Trainer{Trainer: query}})
	if err != nil {
		return nil, err
	}
	return view.GetTrainer(), nil
}

// Size estimates for splitting reads of stored samples into queries whose answers fit one message.
const (
	pageBytes      = 8 << 20
	bytesPerToken  = 16
	bytesPerSample = 512
)

// readTexts replaces the stored samples in view, which lack their text, by complete ones. It returns
// trace.CompareFailed if samples disappeared from the ledger in the meantime.
func (s *Server) readTexts(ctx context.Context, view *wire.TrainerView) error {
	targets := map[string]**wire.Sample{}
	var page []string
	bytes := 0
	readPage := func() error {
		if len(page) == 0 {
			return nil
		}
		part, err := s.queryTrainer(ctx, &wire.TrainerQuery{Trainer: view.GetTrainer(), SampleIds: page})
		if err != nil {
			return err
		}
		if len(part.GetSamples()) != len(page) {
			return trace.CompareFailed("the ledger of trainer %s changed while it was read", view.GetTrainer())
		}
		for _, sample := range part.GetSamples() {
			*targets[sample.GetId()] = sample
		}
		page, bytes = page[:0], 0
		return nil
	}
	for _, step := range view.GetSteps() {
		for position, sample := range step.GetStored() {
			tokens, _ := sampleTokens(sample)
			targets[sample.GetId()] = &step.Stored[position]
			page = append(page, sample.GetId())
			bytes += tokens*bytesPerToken + bytesPerSample
			if bytes < pageBytes {
				continue
			}
			if err := readPage(); err != nil {
				return err
			}
		}
	}
	return readPage()
}

// execute applies a sample command through the trainer's ledger group. An error means that the command was invalid, was
// never proposed, or may have been applied. A rejection by the ledger is reported in the result.
func (s *Server) execute(ctx context.Context, t *trainerState, command *wire.Command) (*wire.SampleResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.StoreTimeout)
	defer cancel()
	result, err := s.client.Execute(ctx, t.group, command)
	if err != nil {
		return nil, err
	}
	if result.GetSample() == nil {
		return nil, trace.BadParameter("the ledger refused a command: %s", result.GetInvalid())
	}
	return result.GetSample(), nil
}

// dropTrainer discards the state of a trainer that another coordinator has taken over, or whose state here no longer
// matches the ledger. The next request reads it again. Partial samples are sent to the next owner. The caller holds the
// mutex.
func (s *Server) dropTrainer(t *trainerState, reason string) {
	if s.trainers[t.name] != t {
		return
	}
	delete(s.trainers, t.name)
	t.cancel()
	defer s.sendPartials(t)
	s.stats.Deposed++
	s.config.Log.Infof("dropped trainer %s: %s", t.name, reason)
	for _, p := range s.pools {
		for id, r := range p.running {
			if r.trainer == t {
				if !r.generated && r.partial.tokens > 0 {
					t.partials[id.String()] = r.partial
				}
				delete(p.running, id)
				if r.generated {
					p.finishing--
				}
			}
		}
		p.scheduler.Forget(t.name)
	}
	t.notify()
}

// dropReassignedTrainers drops the trainers that another coordinator should own now. The caller holds the mutex.
func (s *Server) dropReassignedTrainers() {
	if len(s.candidates()) == 0 {
		return // no live coordinator is known that could take them over
	}
	var moved []*trainerState
	for _, t := range s.trainers {
		if !s.owns(trainerResource(t.name)) {
			moved = append(moved, t)
		}
	}
	slices.SortFunc(moved, func(first, second *trainerState) int { return strings.Compare(first.name, second.name) })
	for _, t := range moved {
		s.dropTrainer(t, "another coordinator should own it")
	}
}
