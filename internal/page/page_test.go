package page

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/tamarindring/tamarindring/internal/control"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

func TestMain(m *testing.M) {
	// The HTTP library's worker pool ends only at its next round after it was stopped, and its clock never ends.
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
}

// lossyControl loses the answers to changes that were made while lose is set.
type lossyControl struct {
	operator.StatusControl
	lose atomic.Bool
}

func (c *lossyControl) ChangeTable(ctx context.Context, change *wire.TableChange, wait bool) (*wire.TableResult, uint64, error) {
	result, inForce, err := c.StatusControl.ChangeTable(ctx, change, wait)
	if c.lose.Load() {
		return nil, 0, verdict.New(verdict.MayHaveRun, "the answer was lost")
	}
	return result, inForce, err
}

// quickTick shortens the first election.
const quickTick = 10 * time.Millisecond

// startPage serves the page of a cluster of one control node. It returns the page's client of that node and the
// page's URL.
func startPage(t *testing.T) (*lossyControl, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	node, err := control.New(control.Config{Name: "control-1", NodeID: 1, ClusterID: "test", Listener: listener,
		Peers: []control.Peer{{ID: 1, Name: "control-1", Address: address}}, DataFolder: t.TempDir(), Tick: quickTick})
	if err != nil {
		t.Fatal(err)
	}
	finished := make(chan error, 1)
	go func() { finished <- node.Run(context.Background()) }()
	client, err := controlclient.New(controlclient.Config{Addresses: []string{address}})
	if err != nil {
		t.Fatal(err)
	}
	for node.Ready(t.Context()) != nil { // Run must have begun before Close
		time.Sleep(time.Millisecond)
	}
	lossy := &lossyControl{StatusControl: client}
	server, err := Open(Config{Listen: "127.0.0.1:0", Control: lossy, StatusAge: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		for _, closing := range []error{server.Close(), client.Close(), node.Close(), <-finished} {
			if closing != nil {
				t.Error(closing)
			}
		}
	})
	return lossy, "http://" + server.Address()
}

// get decodes the JSON answer of a request that must succeed.
func get(t *testing.T, address string, into any) {
	t.Helper()
	response, err := http.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

// send posts a change. It returns the status and the body, decoded both as an outcome and as a failure.
func send(t *testing.T, address string, change Change) (int, Outcome, Failure) {
	t.Helper()
	body, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(address+"/api/changes", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var outcome Outcome
	var failure Failure
	_ = json.Unmarshal(content, &outcome)
	_ = json.Unmarshal(content, &failure)
	return response.StatusCode, outcome, failure
}

// setWeight returns a change that makes a pool named copy with a weight.
func setWeight(id, operator, value string, base uint64) Change {
	return Change{ChangeID: id, BaseVersion: base, Operator: operator,
		Cells: []CellEdit{{Row: "copy", Column: "kind", Value: "pool"}, {Row: "copy", Column: "weight", Value: value}}}
}

// A change against an old version must conflict and name the other operator's value. It is accepted against the
// version that the conflict reported.
func TestASecondOperatorOverwritesTheFirst(t *testing.T) {
	_, address := startPage(t)
	first := setWeight("a", "ann", "70", 0)
	first.Wait = true
	status, outcome, _ := send(t, address, first)
	if status != http.StatusOK || !outcome.Accepted || outcome.Version != 1 || outcome.InForce < 1 {
		t.Fatalf("status %d, %+v; want version 1 in force", status, outcome)
	}
	status, outcome, _ = send(t, address, setWeight("b", "ben", "80", 0))
	if status != http.StatusConflict || outcome.Accepted {
		t.Fatalf("status %d, %+v; want a conflict", status, outcome)
	}
	var seen *Refusal
	for _, refusal := range outcome.Refusals {
		if refusal.Column == "weight" {
			seen = &refusal
		}
	}
	if seen == nil || seen.CurrentValue != "70" || seen.ChangedBy != "ann" || seen.ChangedVersion != 1 {
		t.Fatalf("the conflict does not name ann's 70 of version 1: %+v", outcome.Refusals)
	}
	if status, outcome, _ = send(t, address, setWeight("c", "ben", "80", outcome.Version)); status != http.StatusOK || outcome.Version != 2 {
		t.Fatalf("status %d, %+v; want ben's change against the seen version accepted", status, outcome)
	}
	var sheet operator.Sheet
	get(t, address+"/api/table", &sheet)
	row, _ := sheet.Row("copy")
	if cell := row.Cells["weight"]; cell.Value != "80" || cell.Operator != "ben" || cell.Version != 2 {
		t.Fatalf("the table shows %+v, want ben's 80 of version 2", cell)
	}
	var entries []wire.HistoryEntry
	get(t, address+"/api/history?row=copy&column=weight", &entries)
	if len(entries) != 2 {
		t.Fatalf("%d changes of the weight in the history, want 2", len(entries))
	}
}

// TestAResentChangeIsMadeTwice loses the answer to a change that was made and sends it again, after another operator
// has changed the same cell. The resend must return the original answer and leave the other operator's value in
// place.
func TestAResentChangeIsMadeTwice(t *testing.T) {
	lossy, address := startPage(t)
	lossy.lose.Store(true)
	change := setWeight("a", "ann", "70", 0)
	status, _, failure := send(t, address, change)
	if status != http.StatusGatewayTimeout || failure.Verdict != verdict.MayHaveRun.String() {
		t.Fatalf("status %d, %+v; want an unknown outcome", status, failure)
	}
	lossy.lose.Store(false)
	if status, _, _ := send(t, address, setWeight("b", "ben", "80", 1)); status != http.StatusOK {
		t.Fatalf("ben's change: got status %d, want it accepted", status)
	}
	status, outcome, _ := send(t, address, change)
	if status != http.StatusOK || !outcome.Accepted || outcome.Version != 1 {
		t.Fatalf("status %d, %+v; want the first sending's answer", status, outcome)
	}
	var sheet operator.Sheet
	get(t, address+"/api/table", &sheet)
	if row, _ := sheet.Row("copy"); sheet.Version != 2 || row.Cells["weight"].Value != "80" {
		t.Fatalf("version %d, %+v; want ben's 80 of version 2 untouched", sheet.Version, row)
	}
	if status, outcome, _ = send(t, address, setWeight("a", "ann", "71", 2)); status != http.StatusConflict || outcome.Accepted {
		t.Fatalf("another change under a used id: status %d, %+v; want it refused", status, outcome)
	}
}

// The status of a cluster of one node must show its table version and the node as leader.
func TestStatusDoesNotShowTheNode(t *testing.T) {
	_, address := startPage(t)
	if status, _, failure := send(t, address, setWeight("a", "ann", "70", 0)); status != http.StatusOK {
		t.Fatalf("status %d, %+v", status, failure)
	}
	var status operator.Status
	for range 1000 { // the status follows an accepted change after a short delay
		if get(t, address+"/api/status", &status); status.TableVersion == 1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if status.TableVersion != 1 || len(status.Nodes) != 1 || len(status.Nodes[0].Groups) != 3 || status.MembersError != "" {
		t.Fatalf("status %+v; want version 1 and one node with three groups", status)
	}
	if role := status.Nodes[0].Groups[0].Role; role != "leader" {
		t.Fatalf("the only node is %s, want leader", role)
	}
}

// A back end that can't be reached must be listed as unreachable. Lists of coordinators and trainers must be empty
// instead of null, because the page's script iterates over them.
func TestFleetDoesNotShowADeadBackend(t *testing.T) {
	_, address := startPage(t)
	change := setWeight("a", "ann", "70", 0)
	for column, value := range map[string]string{"kind": "backend", "pool": "copy", "address": "127.0.0.1:1"} {
		change.Cells = append(change.Cells, CellEdit{Row: "engine-1", Column: column, Value: value})
	}
	if status, _, failure := send(t, address, change); status != http.StatusOK {
		t.Fatalf("status %d, %+v", status, failure)
	}
	var fleet operator.Fleet
	get(t, address+"/api/fleet", &fleet)
	if len(fleet.Pools) != 1 || fleet.Pools[0].Backends != 1 || len(fleet.Pools[0].Unreachable) != 1 || fleet.Pools[0].Unreachable[0] != "engine-1" {
		t.Fatalf("fleet %+v; want engine-1 of copy unreachable", fleet)
	}
	if fleet.Coordinators == nil || fleet.Trainers == nil {
		t.Fatalf("got fleet %+v; want empty lists of coordinators and trainers instead of null", fleet)
	}
}

// The schema served to the browser must have the table's columns in the same order.
func TestSchemaOfThePageDiffersFromTheTable(t *testing.T) {
	_, address := startPage(t)
	var columns []Column
	get(t, address+"/api/schema", &columns)
	schema := table.Schema()
	if len(columns) != len(schema) {
		t.Fatalf("%d columns, want %d", len(columns), len(schema))
	}
	for position, column := range columns {
		if column.Name != schema[position].Name || column.Maximum != schema[position].Maximum || column.Help == "" {
			t.Errorf("column %+v, want %+v", column, schema[position])
		}
	}
}

// TestBadRequestsAreServed sends requests that a browser never sends, or that another site could make it send. Each
// must be refused, and none may change the table.
func TestBadRequestsAreServed(t *testing.T) {
	_, address := startPage(t)
	valid := `{"change_id":"a","base_version":0,"operator":"ann","cells":[{"row":"copy","column":"kind","value":"pool"}]}`
	cases := []struct {
		name, method, path, contentType, host, body string
		status                                      int
	}{
		{"another site's form", "POST", "/api/changes", "text/plain", "", valid, http.StatusUnsupportedMediaType},
		{"another site's name", "POST", "/api/changes", "application/json", "evil.example:80", valid, http.StatusMisdirectedRequest},
		{"unknown field", "POST", "/api/changes", "application/json", "", strings.Replace(valid, "operator", "operater", 1), http.StatusBadRequest},
		{"wrong type", "POST", "/api/changes", "application/json", "", strings.Replace(valid, ":0", ":-1", 1), http.StatusBadRequest},
		{"no change id", "POST", "/api/changes", "application/json", "", strings.Replace(valid, `"a"`, `""`, 1), http.StatusBadRequest},
		{"empty change", "POST", "/api/changes", "application/json", "", `{"change_id":"a","operator":"ann"}`, http.StatusBadRequest},
		{"two changes", "POST", "/api/changes", "application/json", "", valid + valid, http.StatusBadRequest},
		{"reading as a change", "GET", "/api/changes", "", "", "", http.StatusMethodNotAllowed},
		{"unknown path", "GET", "/api/none", "", "", "", http.StatusNotFound},
		{"bad limit", "GET", "/api/history?limit=x", "", "", "", http.StatusBadRequest},
	}
	for _, test := range cases {
		request, err := http.NewRequest(test.method, address+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Content-Type", test.contentType)
		request.Host = test.host
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != test.status {
			t.Errorf("%s: status %d, want %d", test.name, response.StatusCode, test.status)
		}
	}
	var sheet operator.Sheet
	get(t, address+"/api/table", &sheet)
	if sheet.Version != 0 {
		t.Errorf("a bad request changed the table to version %d", sheet.Version)
	}
}

// A change that is too large must be refused by its Content-Length, before its body is sent.
func TestATooLargeChangeIsRead(t *testing.T) {
	_, address := startPage(t)
	connection, err := net.Dial("tcp", strings.TrimPrefix(address, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST /api/changes HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Fatalf("status %d, want %d before any of the body is sent", response.StatusCode, http.StatusRequestEntityTooLarge)
	}
}

// Every embedded file must be served, refer to no other host and carry the content security policy.
func TestAnAssetIsMissingOrFromOutside(t *testing.T) {
	_, address := startPage(t)
	for path, asset := range assets {
		response, err := http.Get(address + path)
		if err != nil {
			t.Fatal(err)
		}
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK || !bytes.Equal(content, asset.content) || len(content) == 0 {
			t.Errorf("%s: status %d, %d bytes: %v", path, response.StatusCode, len(content), err)
		}
		for _, outside := range []string{"http://", "https://", "//cdn"} {
			if strings.Contains(string(content), outside) {
				t.Errorf("%s contains %q, want no reference to another host", path, outside)
			}
		}
		if policy := response.Header.Get("Content-Security-Policy"); !strings.Contains(policy, "script-src 'self'") {
			t.Errorf("%s: got policy %q, want scripts from the page itself only", path, policy)
		}
	}
	if !strings.Contains(string(indexHTML), fmt.Sprintf("src=%q", "/page.js")) {
		t.Error("index.html does not load /page.js")
	}
}
