package coordinator

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/ledger"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// handler serves one endpoint for trainers. It either writes the answer and returns nil, or returns a refusal.
type handler func(writer http.ResponseWriter, request *http.Request, trainer string) *refusal

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/trainers/{trainer}/steps/{step}", s.serve(s.handleStep))
	mux.HandleFunc("POST /v1/trainers/{trainer}/fetch", s.serve(s.handleFetch))
	mux.HandleFunc("POST /v1/trainers/{trainer}/versions", s.serve(s.handleVersion))
	mux.HandleFunc("POST "+handOverPath, s.handleHandOver)
	mux.HandleFunc("GET "+poolStatusPath+"{pool}", s.handlePoolStatus)
	mux.HandleFunc("GET /v1/stats", s.handleStats)
	mux.HandleFunc("/", func(writer http.ResponseWriter, _ *http.Request) {
		(&refusal{status: http.StatusNotFound, code: CodeNotFound, message: "no such path or method"}).write(writer)
	})
	return mux
}

func (s *Server) serve(serve handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if refused := s.serveChecked(serve, writer, request); refused != nil {
			s.mutex.Lock()
			if refused.location == "" {
				s.stats.Refused++
			}
			s.mutex.Unlock()
			refused.write(writer)
		}
	}
}

func (s *Server) serveChecked(serve handler, writer http.ResponseWriter, request *http.Request) *refusal {
	name := request.PathValue("trainer")
	if name == "" || len(name) > ledger.MaximumTextBytes || strings.Contains(name, "/") {
		return badRequest("a trainer's name has 1 to 128 bytes and no slash")
	}
	if refused := s.checkToken(request, name, auth.Trainer); refused != nil {
		return refused
	}
	if s.leaving.Load() {
		return unavailable(CodeDraining, "this coordinator is leaving; ask another")
	}
	if _, ok := s.session.Admit(); !ok {
		return unavailable(CodeNoLease, "this coordinator holds no lease; ask another")
	}
	return serve(writer, request, name)
}

// refusalFromError returns the answer to a request that failed because of an error from the control or ledger group.
func refusalFromError(err error) *refusal {
	var known *refusal
	if errors.As(err, &known) {
		return known
	}
	if trace.IsBadParameter(err) {
		return badRequest(trace.UserMessage(err))
	}
	return unavailable(CodeUnavailable, "the ledger did not answer; send the same call again: "+err.Error())
}

// ownedTrainer returns the state of a trainer that this coordinator should own and adopts the trainer first if
// necessary. If another coordinator should own the trainer, it returns a redirect to that one.
func (s *Server) ownedTrainer(request *http.Request, name string) (*trainerState, *refusal) {
	if redirect := s.redirectToOwner(trainerResource(name), request); redirect != nil {
		return nil, redirect
	}
	t, err := s.adopt(request.Context(), name)
	if err != nil {
		return nil, refusalFromError(err)
	}
	return t, nil
}

// handleStep serves PUT /v1/trainers/{trainer}/steps/{step}. It answers once the step is durable.
func (s *Server) handleStep(writer http.ResponseWriter, request *http.Request, name string) *refusal {
	number, err := strconv.ParseUint(request.PathValue("step"), 10, 64)
	if err != nil {
		return badRequest("a step's number is a decimal number")
	}
	var body stepBody
	if refused := decode(writer, request, s.config.MaxBodyBytes, &body); refused != nil {
		return refused
	}
	open, refused := s.stepOpen(name, number, &body)
	if refused != nil {
		return refused
	}
	t, refused := s.ownedTrainer(request, name)
	if refused != nil {
		return refused
	}
	if refused := s.openStep(request.Context(), t, open); refused != nil {
		return refused
	}
	writeJSON(writer, http.StatusOK, stepReply{Step: number, Samples: len(open.GetPrompts()) * int(open.GetSamplesPerPrompt())})
	return nil
}

// stepReply is the answer to an opened step.
type stepReply struct {
	Step    uint64 `json:"step"`
	Samples int    `json:"samples"`
}

// stepOpen validates a step's body and converts it to the ledger's command.
func (s *Server) stepOpen(name string, number uint64, body *stepBody) (*wire.StepOpen, *refusal) {
	row := s.session.View().Pool(body.Pool)
	if row == nil || row.Service != table.Engine {
		return nil, badRequest("the table has no model pool " + strconv.Quote(body.Pool))
	}
	slots := uint64(len(body.Prompts)) * uint64(body.SamplesPerPrompt)
	if slots == 0 || slots > ledger.MaximumSlots {
		return nil, badRequest("a step has 1 to " + strconv.Itoa(ledger.MaximumSlots) + " samples")
	}
	open := &wire.StepOpen{Trainer: name, Step: number, Pool: body.Pool, SamplesPerPrompt: body.SamplesPerPrompt}
	for _, prompt := range body.Prompts {
		if strings.Contains(prompt.ID, "/") {
			return nil, badRequest("a prompt id has no slash")
		}
		open.Prompts = append(open.Prompts, &wire.Prompt{Id: prompt.ID, Text: prompt.Text, MaxTokens: prompt.MaxTokens})
	}
	return open, nil
}

func (s *Server) openStep(ctx context.Context, t *trainerState, open *wire.StepOpen) *refusal {
	result, err := s.execute(ctx, t, &wire.Command{Kind: &wire.Command_StepOpen{StepOpen: open}})
	if err != nil {
		return refusalFromError(err)
	}
	if !result.GetAccepted() {
		if result.GetReason() == ledger.ReasonTooMany {
			return unavailable(CodeUnavailable, result.GetReason())
		}
		return conflict(result.GetReason())
	}
	return s.recordOpened(ctx, t, open)
}

// recordOpened schedules a step that the ledger has accepted. The ledger also accepts a step that was already
// delivered, so it is queried if the step is not known here and may be an old one.
func (s *Server) recordOpened(ctx context.Context, t *trainerState, open *wire.StepOpen) *refusal {
	s.mutex.Lock()
	known := t.delivery.step(open.GetStep()) != nil
	mayBeClosed := open.GetStep() <= t.lastOpened || t.lastOpened == 0
	s.mutex.Unlock()
	if known {
		return nil
	}
	if mayBeClosed {
		view, err := s.readTrainer(ctx, t.name)
		if err != nil {
			return refusalFromError(err)
		}
		if !hasOpenStep(view, open.GetStep()) {
			return nil
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.trainers[t.name] != t {
		return unavailable(CodeUnavailable, "another coordinator takes this trainer over; send the same call again")
	}
	if t.delivery.step(open.GetStep()) == nil {
		t.lastOpened = max(t.lastOpened, open.GetStep())
		s.stats.StepsOpened++
		s.scheduleStep(t, t.delivery.open(open))
		t.notify()
		s.wake()
	}
	return nil
}

func hasOpenStep(view *wire.TrainerView, number uint64) bool {
	for _, step := range view.GetSteps() {
		if step.GetOpen().GetStep() == number {
			return true
		}
	}
	return false
}
