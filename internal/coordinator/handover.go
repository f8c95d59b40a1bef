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
	handOverPath             = "/v1/coordinators/handover"
	handOverTimeout          = 2 * time.Second
	receivedPartialsLifetime = 30 * time.Second // for partial samples whose trainer is not taken over
	maxReceivedPartials      = ledger.MaximumTrainers
)

// partialsBody carries the partial samples of a trainer from a coordinator that drops the trainer to the next owner. If
// it is lost, only tokens are lost: the next owner generates those samples from the start.
type partialsBody struct {
	Trainer string          `json:"trainer"`
	Samples []partialSample `json:"samples"`
}

type partialSample struct {
	ID       string         `json:"id"`
	Edition  uint32         `json:"edition"`
	Text     string         `json:"text"`
	Segments []segmentReply `json:"segments"`
}

// receivedPartials holds the partial samples received for a trainer, until the trainer is adopted or they expire.
type receivedPartials struct {
	samples []partialSample
	at      time.Duration
}

// sendPartials sends a trainer's partial samples to its next owner in the background. It keeps them here if this
// coordinator should own the trainer again. It counts the tokens as discarded if there is no next owner or sending them
// fails. The caller holds the mutex.
func (s *Server) sendPartials(t *trainerState) {
	body, tokens := t.collectPartials()
	if tokens == 0 {
		return
	}
	if !s.draining.Load() && s.owns(trainerResource(t.name)) {
		s.receivedPartials[t.name] = &receivedPartials{samples: body.Samples, at: s.now()}
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
	s.handovers.Add(1)
	s.start(func() {
		defer s.handovers.Done()
		encoded, err := json.Marshal(body)
		if err == nil {
			var answer struct{}
			err = s.callNode(s.context, http.MethodPost, next.address, handOverPath, encoded, handOverTimeout, &answer)
		}
		if err != nil {
			s.config.Log.Debugf("trainer %s: %d partial samples could not be sent to the next owner: %v", t.name, len(body.Samples), err)
			s.mutex.Lock()
			s.stats.DiscardedTokens += tokens
			s.mutex.Unlock()
		}
	})
}

// collectPartials returns the trainer's partial samples whose slots are still empty, and their total number of tokens.
func (t *trainerState) collectPartials() (*partialsBody, uint64) {
	body, tokens := &partialsBody{Trainer: t.name}, uint64(0)
	for id, p := range t.partials {
		slotID, err := ledger.ParseSlotID(id)
		if err != nil || p.tokens == 0 {
			continue
		}
		slot := t.delivery.slot(slotID)
		if slot == nil || slot.sample != nil || slot.delivered {
			continue
		}
		tokens += uint64(p.tokens)
		body.Samples = append(body.Samples, partialSample{ID: id, Edition: slot.edition, Text: p.text.String(),
			Segments: newSegmentReplies(p.segments)})
	}
	return body, tokens
}

// nextOwner returns the live coordinator that should own a resource once this one is gone. The name is empty if there
// is no other.
func (s *Server) nextOwner(resource string) candidate {
	var others []candidate
	for _, one := range s.candidates() {
		if one.name != s.config.Name {
			others = append(others, one)
		}
	}
	return chooseOwner(resource, others)
}

// handOverTrainers drops all trainers at the end of a drain and waits until their partial samples are sent or ctx ends.
func (s *Server) handOverTrainers(ctx context.Context) {
	s.mutex.Lock()
	for _, t := range s.trainers {
		s.dropTrainer(t, "draining")
	}
	s.mutex.Unlock()
	sent := make(chan struct{})
	go func() {
		s.handovers.Wait()
		close(sent)
	}()
	select {
	case <-sent:
	case <-ctx.Done():
	}
}

// handleHandOver serves POST /v1/coordinators/handover, by which another coordinator passes on partial samples.
func (s *Server) handleHandOver(writer http.ResponseWriter, request *http.Request) {
	if refused := s.checkCoordinator(request); refused != nil {
		refused.write(writer)
		return
	}
	var body partialsBody
	if refused := decode(writer, request, s.config.MaxBodyBytes, &body); refused != nil {
		refused.write(writer)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.receivedPartials) < maxReceivedPartials {
		s.receivedPartials[body.Trainer] = &receivedPartials{samples: body.Samples, at: s.now()}
	}
	if t := s.trainers[body.Trainer]; t != nil {
		s.restorePartials(t)
		s.wake()
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}

// checkCoordinator rejects a request that does not come from a coordinator.
func (s *Server) checkCoordinator(request *http.Request) *refusal {
	if refused := s.checkToken(request, "", auth.Node); refused != nil {
		return refused
	}
	if !s.isFromCoordinator(request) {
		return &refusal{status: http.StatusForbidden, code: CodeForbidden, message: "only coordinators may ask this"}
	}
	return nil
}

// isFromCoordinator reports whether a request comes from the IP address of a coordinator that the control group lists.
func (s *Server) isFromCoordinator(request *http.Request) bool {
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

// restorePartials takes over the partial samples received from a previous owner whose slots are still empty, have the
// same edition and are not being generated. The caller holds the mutex.
func (s *Server) restorePartials(t *trainerState) {
	received := s.receivedPartials[t.name]
	delete(s.receivedPartials, t.name)
	if received == nil || s.now() > received.at+receivedPartialsLifetime {
		return
	}
	for _, sample := range received.samples {
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

func (s *partialSample) partial() *partial {
	made := &partial{}
	made.text.WriteString(s.Text)
	for _, segment := range s.Segments {
		made.segments = append(made.segments, &wire.Segment{WeightVersion: segment.WeightVersion, VersionNumber: segment.VersionNumber,
			FirstToken: uint32(made.tokens), TokenCount: segment.TokenCount, Replica: segment.Replica})
		made.tokens += int(segment.TokenCount)
	}
	return made
}

// expireReceivedPartials drops received partial samples that were not claimed within receivedPartialsLifetime. The
// caller holds the mutex.
func (s *Server) expireReceivedPartials() {
	for name, received := range s.receivedPartials {
		if s.now() > received.at+receivedPartialsLifetime {
			delete(s.receivedPartials, name)
		}
	}
}
