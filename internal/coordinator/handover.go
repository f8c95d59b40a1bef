package coordinator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	handOverPath     = "/v1/coordinators/handover"
	handOverTimeout  = 2 * time.Second
	begunLifetime    = 30 * time.Second // of one whose trainer is not taken over
	maxBegunTrainers = ledger.MaximumTrainers
)

// begunBody carries the begun samples of a trainer from a coordinator that gives it up by plan to the next
// owner. Losing it costs only the tokens: the next owner begins those samples anew.
type begunBody struct {
	Trainer string        `json:"trainer"`
	Samples []begunSample `json:"samples"`
}

type begunSample struct {
	ID       string         `json:"id"`
	Edition  uint32         `json:"edition"`
	Text     string         `json:"text"`
	Segments []segmentReply `json:"segments"`
}

// begunSet is what was received for a trainer that is not owned here yet.
type begunSet struct {
	samples []begunSample
	at      time.Duration
}

// sendBegun sends a trainer's begun samples to its next owner, in the background, or keeps them when that is
// this coordinator again. Tokens are counted as lost where there is none. The caller holds the mutex.
func (s *Server) sendBegun(t *trainerState) {
	body, tokens := t.begunBody()
	if tokens == 0 {
		return
	}
	if !s.draining.Load() && s.owns(trainerResource(t.name)) {
		s.begun[t.name] = &begunSet{samples: body.Samples, at: s.now()}
		return
	}
	next := s.nextOwner(trainerResource(t.name))
	if next.name == "" || s.context.Err() != nil {
		s.stats.DiscardedTokens += tokens
		return
	}
	if s.closed {
		return
	}
	s.handOvers.Add(1)
	s.start(func() {
		defer s.handOvers.Done()
		encoded, err := json.Marshal(body)
		if err == nil {
			var answer struct{}
			err = s.callNode(s.context, http.MethodPost, next.address, handOverPath, encoded, handOverTimeout, &answer)
		}
		if err != nil {
			s.config.Log.Debugf("trainer %s: %d begun samples were not handed over: %v", t.name, len(body.Samples), err)
			s.mutex.Lock()
			s.stats.DiscardedTokens += tokens
			s.mutex.Unlock()
		}
	})
}

// begunBody puts a trainer's begun samples together.
func (t *trainerState) begunBody() (*begunBody, uint64) {
	body, tokens := &begunBody{Trainer: t.name}, uint64(0)
	for id, kept := range t.partials {
		slotID, err := ledger.ParseSlotID(id)
		if err != nil || kept.tokens == 0 {
			continue
		}
		slot := t.delivery.slot(slotID)
		if slot == nil || slot.sample != nil || slot.delivered {
			continue
		}
		tokens += uint64(kept.tokens)
		body.Samples = append(body.Samples, begunSample{ID: id, Edition: slot.edition, Text: kept.text.String(),
			Segments: newSegmentReplies(kept.segments)})
	}
	return body, tokens
}

// nextOwner is the live coordinator other than this one that is to own a resource; its name is empty when
// there is none.
func (s *Server) nextOwner(resource string) candidate {
	var others []candidate
	for _, one := range s.candidates() {
		if one.name != s.config.Name {
			others = append(others, one)
		}
	}
	return chooseOwner(resource, others)
}

// handOverAll gives all trainers up at the end of a drain and waits until their begun samples are sent.
func (s *Server) handOverAll(ctx context.Context) {
	s.mutex.Lock()
	for _, t := range s.trainers {
		s.depose(t, "draining")
	}
	s.mutex.Unlock()
	sent := make(chan struct{})
	go func() {
		s.handOvers.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

// handleHandOver serves the hand-over between coordinators.
func (s *Server) handleHandOver(writer http.ResponseWriter, request *http.Request) {
	if refused := s.checkCoordinator(request); refused != nil {
		refused.write(writer)
		return
	}
	var body begunBody
	if refused := decode(writer, request, s.config.MaxBodyBytes, &body); refused != nil {
		refused.write(writer)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.begun) < maxBegunTrainers {
		s.begun[body.Trainer] = &begunSet{samples: body.Samples, at: s.now()}
	}
	if t := s.trainers[body.Trainer]; t != nil {
		s.takeBegun(t)
		s.wake()
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

// checkCoordinator refuses a request that does not come from a coordinator.
func (s *Server) checkCoordinator(request *http.Request) *refusal {
	if refused := s.checkToken(request, "", auth.Node); refused != nil {
		return refused
	}
	if !s.fromCoordinator(request) {
		return &refusal{status: http.StatusForbidden, code: CodeForbidden, message: "only coordinators may ask this"}
	}
	return nil
}

// fromCoordinator tells whether a call comes from the address of a coordinator that the control group lists.
func (s *Server) fromCoordinator(request *http.Request) bool {
	from, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return false
	}
	for _, member := range s.session.Members().GetMembers() {
		host, _, err := net.SplitHostPort(member.GetAddress())
		if err == nil && host == from && member.GetRole() == wire.MemberRole_MEMBER_ROLE_COORDINATOR {
			return true
		}
	}
	return false
}

// takeBegun takes the begun samples that a former owner left, as far as their slots still wait for them. The
// caller holds the mutex.
func (s *Server) takeBegun(t *trainerState) {
	left := s.begun[t.name]
	delete(s.begun, t.name)
	if left == nil || s.now() > left.at+begunLifetime {
		return
	}
	for _, sample := range left.samples {
		id, err := ledger.ParseSlotID(sample.ID)
		if err != nil {
			continue
		}
		slot := t.delivery.slot(id)
		if slot == nil || slot.sample != nil || slot.delivered || slot.edition != sample.Edition || t.partials[sample.ID] != nil {
			continue
		}
		if p := s.pools[t.delivery.step(id.Step).open.GetPool()]; p != nil && p.running[rolloutID(id)] != nil {
			continue
		}
		t.partials[sample.ID] = sample.partial()
		s.stats.Inherited++
	}
}

func (l *begunSample) partial() *partial {
	made := &partial{}
	made.text.WriteString(l.Text)
	for _, segment := range l.Segments {
		made.segments = append(made.segments, &wire.Segment{WeightVersion: segment.WeightVersion, VersionNumber: segment.VersionNumber,
			FirstToken: uint32(made.tokens), TokenCount: segment.TokenCount, Replica: segment.Replica})
		made.tokens += int(segment.TokenCount)
	}
	return made
}

// forgetBegun drops what nobody inherited. The caller holds the mutex.
func (s *Server) forgetBegun() {
	for name, left := range s.begun {
		if s.now() > left.at+begunLifetime {
			delete(s.begun, name)
		}
	}
}
