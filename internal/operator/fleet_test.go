package operator

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// serveJSON answers one path with a fixed body and returns the server's IP:port.
func serveJSON(t *testing.T, path, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != path {
			http.NotFound(writer, request)
			return
		}
		fmt.Fprint(writer, body)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// sheetRow returns a table row; cells are pairs of column and value.
func sheetRow(name string, cells ...string) *wire.TableRow {
	row := &wire.TableRow{Name: name}
	for position := 0; position < len(cells); position += 2 {
		row.Cells = append(row.Cells, &wire.TableCell{Column: cells[position], Value: cells[position+1]})
	}
	return row
}

// A pool counts its back ends except removed ones, and lists drained back ends and those without a valid report.
// Coordinators and trainers are listed by name; members that have gone and gateways are left out.
func TestFleetStatusMiscounts(t *testing.T) {
	old := serveJSON(t, loadPath, `{"weight_version":"v1","version_number":1,"running":3}`)
	first := serveJSON(t, loadPath, `{"weight_version":"v2","version_number":2,"running":4}`)
	second := serveJSON(t, loadPath, `{"weight_version":"v2","version_number":2,"running":0}`)
	broken := serveJSON(t, loadPath, `{"running":`)
	coordinator := serveJSON(t, statsPath, `{"trainers":2,"running":5,"steps_completed":7,"trainer_stats":[
		{"trainer":"b"},{"trainer":"a","observed_seconds":80,"waited_seconds":20,"waiting":true,"samples":64,"staleness_mean":1.25,"staleness_p99":2,"staleness_max":3}]}`)
	sheet := NewSheet(&wire.TableUpdate{ToVersion: 1, Rows: []*wire.TableRow{
		sheetRow("copy", "kind", "pool"),
		sheetRow("e1", "kind", "backend", "pool", "copy", "address", old, "state", "draining"),
		sheetRow("e2", "kind", "backend", "pool", "copy", "address", first),
		sheetRow("e3", "kind", "backend", "pool", "copy", "address", second),
		sheetRow("e4", "kind", "backend", "pool", "copy", "address", broken),
		sheetRow("e5", "kind", "backend", "pool", "copy", "address", "127.0.0.1:1"),
		sheetRow("e6", "kind", "backend", "pool", "copy", "address", old, "state", "removed"),
	}})
	members := []*wire.Member{
		{Name: "c2", Role: wire.MemberRole_MEMBER_ROLE_COORDINATOR, Address: "127.0.0.1:1"},
		{Name: "c1", Role: wire.MemberRole_MEMBER_ROLE_COORDINATOR, Address: coordinator},
		{Name: "c0", Role: wire.MemberRole_MEMBER_ROLE_COORDINATOR, Address: coordinator, State: wire.MemberState_MEMBER_STATE_GONE},
		{Name: "g1", Role: wire.MemberRole_MEMBER_ROLE_GATEWAY, Address: coordinator},
	}
	fleet := readFleet(sheet, members, "")
	want := []PoolStatus{{Pool: "copy", Backends: 5, Running: 7, Draining: []string{"e1"}, Unreachable: []string{"e4", "e5"},
		Versions: []VersionCount{{Version: "v2", Number: 2, Replicas: 2}, {Version: "v1", Number: 1, Replicas: 1}}}}
	if !reflect.DeepEqual(fleet.Pools, want) {
		t.Errorf("pools %+v, want %+v", fleet.Pools, want)
	}
	if len(fleet.Coordinators) != 2 || fleet.Coordinators[0] != (CoordinatorStatus{Name: "c1", Trainers: 2, Running: 5, StepsCompleted: 7}) || fleet.Coordinators[1].Error == "" {
		t.Errorf("coordinators %+v, want c1 with its counts and c2 without an answer", fleet.Coordinators)
	}
	var out strings.Builder
	if err := fleet.Write(&out); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"copy  5          7        v2: 2, v1: 1     e1        e4, e5", "c2           no answer",
		"a        c1           25%   yes          64       1.25            2    3", "b        c1           -     no           0        0.00            0    0"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("%q is not in\n%s", part, out.String())
		}
	}
}

// TestOnlyCoordinatorsSeeTheToken: the operator's token is sent to coordinators, which check it, and must not reach
// back ends.
func TestOnlyCoordinatorsSeeTheToken(t *testing.T) {
	const authorization = "Bearer operator"
	received := make(chan string, 2)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		received <- request.URL.Path + " " + request.Header.Get("Authorization")
		fmt.Fprint(writer, "{}")
	}))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	sheet := NewSheet(&wire.TableUpdate{ToVersion: 1, Rows: []*wire.TableRow{
		sheetRow("copy", "kind", "pool"), sheetRow("e0", "kind", "backend", "pool", "copy", "address", address)}})
	members := []*wire.Member{{Name: "c0", Role: wire.MemberRole_MEMBER_ROLE_COORDINATOR, Address: address}}
	readFleet(sheet, members, authorization)
	got := map[string]bool{<-received: true, <-received: true}
	if !got[statsPath+" "+authorization] || !got[loadPath+" "] {
		t.Errorf("got paths with authorizations %v, want the operator's at the coordinator's path and none at the back end's", got)
	}
}
