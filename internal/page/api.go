package page

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const defaultHistoryLimit = 50

// newRoutes returns the routes of the JSON interface and of the embedded files.
func (s *Server) newRoutes() map[string]route {
	routes := map[string]route{
		"/api/schema":  {http.MethodGet, s.handleSchema},
		"/api/table":   {http.MethodGet, s.handleTable},
		"/api/status":  {http.MethodGet, s.handleStatus},
		"/api/fleet":   {http.MethodGet, s.handleFleet},
		"/api/history": {http.MethodGet, s.handleHistory},
		"/api/changes": {http.MethodPost, s.handleChange},
	}
	for path, asset := range assets {
		routes[path] = route{http.MethodGet, asset.serve}
	}
	return routes
}

// Column describes a column of the table to the browser.
type Column struct {
	Name      string          `json:"name"`
	Type      string          `json:"type"`
	Unit      string          `json:"unit,omitempty"`
	Minimum   uint64          `json:"minimum"`
	Maximum   uint64          `json:"maximum"`
	Choices   []string        `json:"choices,omitempty"`
	Default   string          `json:"default,omitempty"`
	Rows      []table.RowKind `json:"rows"` // kinds of row that may set the column
	Inherited bool            `json:"inherited"`
	Help      string          `json:"help"`
}

// Change is a change of the table as the browser sends it. A resend carries the same change id and content.
type Change struct {
	ChangeID    string     `json:"change_id"`
	BaseVersion uint64     `json:"base_version"` // table version that the operator saw
	Cells       []CellEdit `json:"cells"`
	RemoveRows  []string   `json:"remove_rows"`
	Operator    string     `json:"operator"`
	Note        string     `json:"note"`
	Wait        bool       `json:"wait"` // answer when the change is in force everywhere, or after the timeout
}

// CellEdit sets one cell; an empty value clears it.
type CellEdit struct {
	Row    string `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
}

// Outcome is the answer to a change.
type Outcome struct {
	ChangeID string    `json:"change_id"`
	Accepted bool      `json:"accepted"`
	Version  uint64    `json:"version"`          // version that the change made; the current version if it was refused
	InForce  uint64    `json:"in_force_version"` // version that every process acts on by now, at least; 0: unknown
	Refusals []Refusal `json:"refusals"`
}

// Refusal tells why a cell was refused. The last three fields are set if another operator has changed the cell since
// the change's base version.
type Refusal struct {
	Row            string `json:"row"`
	Column         string `json:"column"`
	Reason         string `json:"reason"`
	CurrentValue   string `json:"current_value"`
	ChangedVersion uint64 `json:"changed_version"`
	ChangedBy      string `json:"changed_by"`
}

// Failure is the body of every answer that is not a result.
type Failure struct {
	Error   string `json:"error"`             // what happened, and what to do next
	Verdict string `json:"verdict,omitempty"` // for a change: whether it may have been made
}

func (s *Server) handleSchema(ctx *fasthttp.RequestCtx) {
	var columns []Column
	for _, column := range table.Schema() {
		columns = append(columns, Column{
			Name: column.Name, Type: column.Type.String(), Unit: column.Unit, Minimum: column.Minimum, Maximum: column.Maximum,
			Choices: column.Choices, Default: column.Default, Rows: column.Rows, Inherited: column.Inherited, Help: column.Help,
		})
	}
	writeJSON(ctx, http.StatusOK, columns)
}

func (s *Server) handleTable(ctx *fasthttp.RequestCtx) {
	timeoutContext, cancel := context.WithTimeout(s.context, s.config.Timeout)
	defer cancel()
	sheet, err := operator.ReadSheet(timeoutContext, s.config.Control)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, sheet)
}

func (s *Server) handleStatus(ctx *fasthttp.RequestCtx) {
	status, _ := s.statusCache.get(s)
	writeJSON(ctx, http.StatusOK, status)
}

func (s *Server) handleFleet(ctx *fasthttp.RequestCtx) {
	fleet, err := s.fleetCache.get(s)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, fleet)
}

func (s *Server) handleHistory(ctx *fasthttp.RequestCtx) {
	arguments := ctx.QueryArgs()
	filter := operator.HistoryFilter{Row: string(arguments.Peek("row")), Column: string(arguments.Peek("column")), Limit: defaultHistoryLimit}
	if text := string(arguments.Peek("limit")); text != "" {
		limit, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			writeError(ctx, http.StatusBadRequest, "limit is not a whole number", "")
			return
		}
		filter.Limit = uint32(limit)
	}
	timeoutContext, cancel := context.WithTimeout(s.context, s.config.Timeout)
	defer cancel()
	entries, err := operator.ReadHistory(timeoutContext, s.config.Control, filter)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	writeJSON(ctx, http.StatusOK, append([]*wire.HistoryEntry{}, entries...))
}

// handleChange makes a change of the table. The media type must be application/json, which no form of another site
// can send without a preflight request.
func (s *Server) handleChange(ctx *fasthttp.RequestCtx) {
	if mediaType, _, _ := strings.Cut(string(ctx.Request.Header.ContentType()), ";"); strings.TrimSpace(mediaType) != "application/json" {
		writeError(ctx, http.StatusUnsupportedMediaType, "send the change as application/json", verdict.DidNotRun.String())
		return
	}
	change, err := readChange(ctx.PostBody())
	if err != nil {
		writeError(ctx, http.StatusBadRequest, trace.UserMessage(err), verdict.DidNotRun.String())
		return
	}
	setAuthenticatedOperator(ctx, change)
	timeoutContext, cancel := context.WithTimeout(s.context, s.config.Timeout)
	defer cancel()
	outcome, err := operator.Send(timeoutContext, s.config.Control, change.tableChange(time.Now()), change.Wait)
	if err != nil {
		writeFailure(ctx, err)
		return
	}
	s.config.Log.Debugf("page: change %s by %s: accepted %t", change.ChangeID, change.Operator, outcome.Accepted())
	status := http.StatusOK
	if !outcome.Accepted() {
		status = http.StatusConflict
	}
	writeJSON(ctx, status, newOutcome(outcome))
}

// readChange decodes a change strictly, because an ignored misspelt field would change less than was asked for.
func readChange(body []byte) (*Change, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	change := &Change{}
	if err := decoder.Decode(change); err != nil {
		return nil, trace.BadParameter("the change is not valid: %v", err)
	}
	if decoder.More() {
		return nil, trace.BadParameter("the change is followed by more")
	}
	switch {
	case change.ChangeID == "":
		return nil, trace.BadParameter("the change needs a change_id; a resend must carry the same")
	case change.Operator == "":
		return nil, trace.BadParameter("the change needs an operator")
	case len(change.Cells)+len(change.RemoveRows) == 0:
		return nil, trace.BadParameter("the change is empty")
	}
	return change, nil
}

// tableChange returns the change as the control nodes' message.
func (c *Change) tableChange(now time.Time) *wire.TableChange {
	change := &wire.TableChange{ChangeId: c.ChangeID, BaseVersion: c.BaseVersion, RemoveRows: c.RemoveRows,
		Operator: c.Operator, AtUnixMillis: now.UnixMilli(), Note: c.Note}
	for _, cell := range c.Cells {
		change.Cells = append(change.Cells, &wire.CellChange{Row: cell.Row, Column: cell.Column, Value: cell.Value})
	}
	return change
}

func newOutcome(outcome *operator.Outcome) Outcome {
	answer := Outcome{ChangeID: outcome.Result.ChangeId, Accepted: outcome.Accepted(), Version: outcome.Result.Version,
		InForce: outcome.InForce, Refusals: []Refusal{}}
	for _, refusal := range outcome.Result.Refusals {
		answer.Refusals = append(answer.Refusals, Refusal{
			Row: refusal.Row, Column: refusal.Column, Reason: refusal.Reason, CurrentValue: refusal.CurrentValue,
			ChangedVersion: refusal.ChangedVersion, ChangedBy: refusal.ChangedBy,
		})
	}
	return answer
}

// writeFailure answers with an error of the control nodes. The status is 503 if nothing was done. It is 504 if a
// change may have been made; sending the same change again tells whether it was.
func writeFailure(ctx *fasthttp.RequestCtx, err error) {
	status := http.StatusGatewayTimeout
	if verdict.Of(err) == verdict.DidNotRun {
		status = http.StatusServiceUnavailable
	}
	writeError(ctx, status, err.Error(), verdict.Of(err).String())
}

func writeError(ctx *fasthttp.RequestCtx, status int, text, verdictText string) {
	writeJSON(ctx, status, Failure{Error: text, Verdict: verdictText})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(content, '\n'))
}
