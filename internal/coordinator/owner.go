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

// Resources of the control group's fences.
func trainerResource(name string) string { return "trainer/" + name }
func poolResource(name string) string    { return release.Resource(name) }

// candidate is a live coordinator.
type candidate struct {
	name    string
	address string
}

// candidates returns the live coordinators by name, this one included once the control group lists it.
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

// ownerOf chooses the live coordinator that is to own a resource: the highest hash of both names, so that a
// coordinator's coming or going moves only its own part. The name is empty when none is live.
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

// owns tells whether this coordinator is to own a resource.
func (s *Server) owns(resource string) bool { return s.ownerOf(resource).name == s.config.Name }

// elsewhere returns a redirect when another coordinator is to own the resource, else nil.
func (s *Server) elsewhere(resource string, request *http.Request) *refusal {
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
		FenceAcquire: &wire.FenceAcquire{Resource: resource, Owner: s.session.Owner(), RequestId: s.requestName()}}})
	if err != nil {
		return 0, err
	}
	if result.GetFence().GetToken() == 0 {
		return 0, trace.BadParameter("the control group gave no token for %s: %s", resource, result.GetInvalid())
	}
	return result.GetFence().GetToken(), nil
}

// adopt returns the trainer's state, and takes the trainer over first when it is not owned yet.
func (s *Server) adopt(ctx context.Context, name string) (*trainerState, error) {
	s.mutex.Lock()
	known := s.trainers[name]
	s.mutex.Unlock()
	if known != nil {
		return known, nil
	}
	results := s.adoption.DoChan(name, func() (any, error) { return s.takeOver(s.context, name) })
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

// takeOver acquires a trainer's fence, makes it known to the ledger, and only then reads the ledger: nothing
// that a former owner still sends can change what was read.
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
	if err := s.raiseFence(ctx, t); err != nil {
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
		s.config.Log.Infof("took over trainer %s with %d open steps under token %d", name, len(t.delivery.steps), token)
	}
	s.takeBegun(t)
	for _, step := range t.delivery.steps {
		t.lastOpened = step.open.GetStep()
		s.scheduleStep(t, step)
	}
	s.wake()
	return t, nil
}

// raiseFence shows the ledger the token by a discard of a slot that no step has.
func (s *Server) raiseFence(ctx context.Context, t *trainerState) error {
	nothing := ledger.SlotID{Trainer: t.name, Prompt: "-"}
	_, err := s.execute(ctx, t, &wire.Command{Kind: &wire.Command_BatchDiscard{BatchDiscard: &wire.BatchDiscard{
		Trainer: t.name, SampleIds: []string{nothing.String()}, Editions: []uint32{0}, Fence: t.fence}}})
	return err
}

// readTrainer reads what the ledger knows of a trainer, without the samples' texts.
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

// Estimates for reading stored samples in parts that fit one message.
const (
	pageBytes      = 8 << 20
	bytesPerToken  = 16
	bytesPerSample = 512
)

// readTexts replaces the stored samples of a view by whole ones.
func (s *Server) readTexts(ctx context.Context, view *wire.TrainerView) error {
	places := map[string]**wire.Sample{}
	var page []string
	bytes := 0
	read := func() error {
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
			*places[sample.GetId()] = sample
		}
		page, bytes = page[:0], 0
		return nil
	}
	for _, step := range view.GetSteps() {
		for position, sample := range step.GetStored() {
			tokens, _ := sampleTokens(sample)
			places[sample.GetId()] = &step.Stored[position]
			page = append(page, sample.GetId())
			bytes += tokens*bytesPerToken + bytesPerSample
			if bytes < pageBytes {
				continue
			}
			if err := read(); err != nil {
				return err
			}
		}
	}
	return read()
}

// execute has a sample command applied by the trainer's ledger group. The error is about its fate; a refusal
// is in the result.
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

// depose drops a trainer that another coordinator has taken, or whose state here no longer fits the ledger's:
// the next request reads it anew. The caller holds the mutex.
func (s *Server) depose(t *trainerState, why string) {
	if s.trainers[t.name] != t {
		return
	}
	delete(s.trainers, t.name)
	t.cancel()
	defer s.sendBegun(t)
	s.stats.Deposed++
	s.config.Log.Infof("gave up trainer %s: %s", t.name, why)
	for _, p := range s.pools {
		for id, one := range p.running {
			if one.trainer == t {
				if !one.generated && one.partial.tokens > 0 {
					t.partials[id.String()] = one.partial
				}
				delete(p.running, id)
				if one.generated {
					p.after--
				}
			}
		}
		p.scheduler.Forget(t.name)
	}
	t.notify()
}

// deposeMoved gives up the trainers that another coordinator is to own now. The caller holds the mutex.
func (s *Server) deposeMoved() {
	if len(s.candidates()) == 0 {
		return // nobody is known to be live: nobody would go on
	}
	var moved []*trainerState
	for _, t := range s.trainers {
		if !s.owns(trainerResource(t.name)) {
			moved = append(moved, t)
		}
	}
	slices.SortFunc(moved, func(first, second *trainerState) int { return strings.Compare(first.name, second.name) })
	for _, t := range moved {
		s.depose(t, "another coordinator is to own it")
	}
}
