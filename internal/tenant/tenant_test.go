package tenant

import (
	"fmt"
	"strings"
	"testing"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// viewAfter returns the view after the changes, each of which is a list of "row column value" texts separated by
// semicolons.
func viewAfter(t testing.TB, changes ...string) *table.View {
	t.Helper()
	made, view := table.New(), table.NewView()
	for number, cells := range changes {
		change := &wire.TableChange{ChangeId: fmt.Sprint(number), Operator: "test", BaseVersion: made.Version()}
		for cell := range strings.SplitSeq(cells, ";") {
			fields := strings.SplitN(cell, " ", 3)
			change.Cells = append(change.Cells, &wire.CellChange{Row: fields[0], Column: fields[1], Value: fields[2]})
		}
		if result := made.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
			t.Fatal(result)
		}
		next, err := view.Apply(made.UpdateSince(view.Version()))
		if err != nil {
			t.Fatal(err)
		}
		view = next
	}
	return view
}

func row(name string, keys ...string) string {
	digests := make([]string, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, Digest(key))
	}
	return fmt.Sprintf("%s kind tenant;%s tenant_name %s;%s key_digests %s", name, name, strings.ToUpper(name), name, strings.Join(digests, ","))
}

const required = "l kind listener;l keys_required true"

func TestAuthenticateFindsTenantByKey(t *testing.T) {
	index := NewIndex(viewAfter(t, required+";"+row("a", "k1", "k2")+";"+row("b", "k3")+";b priority 2;c kind tenant;c tenant_name C"), nil)
	for _, test := range []struct {
		key       string
		anonymous bool
		want      string
		refused   bool
	}{
		{"k1", false, "A", false}, {"k2", false, "A", false}, {"k3", false, "B", false}, {"k3", true, "B", false},
		{"k4", false, "", true}, {"k4", true, "", true}, {"", false, "", true}, {"", true, "", false}, {Digest("k1"), false, "", true},
	} {
		found, refused := index.Authenticate(test.key, test.anonymous)
		if refused != test.refused || (found == nil) != (test.want == "") || found != nil && found.Name != test.want {
			t.Errorf("key %q, anonymous %v: %+v, refused %v", test.key, test.anonymous, found, refused)
		}
	}
	if b := index.Find("B"); !b.HasPriority || b.Priority != 2 || index.Find("A").HasPriority || index.Find("C") == nil || index.Find("a") != nil {
		t.Errorf("%+v", index.byName)
	}
}

// TestKeysAreNotCheckedUnlessRequired guards against callers that are refused while an operator still enters tenants
// one by one.
func TestKeysAreNotCheckedUnlessRequired(t *testing.T) {
	index := NewIndex(viewAfter(t, row("a", "k1")), nil)
	if found, refused := index.Authenticate("other", false); found != nil || refused {
		t.Fatal(found, refused)
	}
	var none *Index
	if found, refused := none.Authenticate("", false); found != nil || refused || none.Find("a") != nil {
		t.Fatal(found, refused)
	}
}

// TestIndexFollowsKeyChanges guards against an outdated index after a key was removed or assigned to another tenant,
// and against a rebuilt index when no tenant or listener has changed.
func TestIndexFollowsKeyChanges(t *testing.T) {
	changes := []string{required + ";" + row("a", "k1", "k2"), "p kind pool", "a key_digests " + Digest("k2"), row("b", "k1"), "l keys_required false"}
	var index *Index
	for number, want := range []string{"A", "A", "", "B", ""} {
		held := index
		index = NewIndex(viewAfter(t, changes[:number+1]...), held)
		if unchanged := number == 1; held != nil && (index == held) != unchanged {
			t.Errorf("view %d: same index %v, want the opposite", number, index == held)
		}
		if found, _ := index.Authenticate("k1", false); (found == nil) != (want == "") || found != nil && found.Name != want {
			t.Errorf("view %d: %+v", number, found)
		}
	}
}

// TestRemovedTenantIsRefused guards against an index that keeps a tenant whose row was removed, if that is the only
// change.
func TestRemovedTenantIsRefused(t *testing.T) {
	view := viewAfter(t, required+";"+row("a", "k1"))
	held := NewIndex(view, nil)
	next, err := view.Apply(&wire.TableUpdate{FromVersion: view.Version(), ToVersion: view.Version() + 1, RemovedRows: []string{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	if found, refused := NewIndex(next, held).Authenticate("k1", false); found != nil || !refused {
		t.Error("the key of a removed tenant was accepted")
	}
}

func TestCheckKeyRejectsInvalidKeys(t *testing.T) {
	for _, key := range []string{"", " k", "k\n", "k\u00e9", strings.Repeat("k", MaximumKeyBytes+1)} {
		if CheckKey(key) == nil {
			t.Errorf("invalid key %.20q was accepted", key)
		}
	}
	if err := CheckKey(strings.Repeat("k", MaximumKeyBytes)); err != nil {
		t.Error(err)
	}
}

// BenchmarkAuthenticate looks up keys among 10,000 tenants with two keys each.
func BenchmarkAuthenticate(b *testing.B) {
	const tenants = 10_000
	changes := []string{required}
	for first := 0; first < tenants; first += 500 { // the size of one change is limited
		var rows []string
		for number := first; number < first+500; number++ {
			rows = append(rows, row(fmt.Sprintf("t%d", number), fmt.Sprintf("first-%d", number), fmt.Sprintf("second-%d", number)))
		}
		changes = append(changes, strings.Join(rows, ";"))
	}
	index := NewIndex(viewAfter(b, changes...), nil)
	b.ReportAllocs()
	for b.Loop() {
		if found, _ := index.Authenticate("second-5000", false); found == nil {
			b.Fatal("not found")
		}
	}
}
