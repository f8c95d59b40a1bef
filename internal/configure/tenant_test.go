package configure

import (
	"strings"
	"testing"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/tenant"
)

// withTenants returns an example with tenants and a listener that requires keys.
func withTenants(revision uint64, tenants ...Tenant) *Configuration {
	c := example(revision)
	c.KeysRequired, c.Tenants = true, tenants
	return c
}

// TestTenantsFollowTheConfiguration checks that tenants are added, get other keys and are removed as successive
// configurations name them, and that no row contains a key in clear text.
func TestTenantsFollowTheConfiguration(t *testing.T) {
	control := &fakeControl{table: table.New()}
	importer := &Importer{Control: control, Operator: "test"}
	rank := uint32(0)
	for number, step := range []struct {
		tenants []Tenant
		want    map[string]string // tenant's name by key; empty if the key must be refused
	}{
		{[]Tenant{{Name: "One", Keys: []string{"k1", "k2"}, Priority: &rank}, {Name: "two words", Keys: []string{"k3"}}},
			map[string]string{"k1": "One", "k2": "One", "k3": "two words", "k4": ""}},
		{[]Tenant{{Name: "One", Keys: []string{"k3"}}, {Name: "two words", Keys: []string{"k1", "k4"}}},
			map[string]string{"k1": "two words", "k2": "", "k3": "One", "k4": "two words"}},
		{[]Tenant{{Name: "One"}}, map[string]string{"k1": "", "k3": ""}},
		{nil, map[string]string{"k1": ""}},
	} {
		if err := importer.Put(t.Context(), withTenants(uint64(number+1), step.tenants...)); err != nil {
			t.Fatal(err)
		}
		view, err := ReadView(t.Context(), control, nil)
		if err != nil {
			t.Fatal(err)
		}
		index := tenant.NewIndex(view, nil)
		for key, want := range step.want {
			found, refused := index.Authenticate(key, false)
			if refused != (want == "") || found != nil && found.Name != want {
				t.Errorf("step %d, key %s: got tenant %+v, refused %v, want the tenant in the configuration", number, key, found, refused)
			}
		}
		if one := index.Find("One"); one != nil && one.HasPriority != (number == 0) {
			t.Errorf("step %d: got tenant %+v, want a rank of its own in step 0 only", number, one)
		}
		for _, row := range view.Rows() {
			if row.Kind == table.Tenant && strings.Contains(strings.Join(row.KeyDigests, ","), "k1") {
				t.Errorf("row %s contains a key in clear text", row.Name)
			}
		}
	}
}

func TestAmbiguousOrInvalidTenantsAreRefused(t *testing.T) {
	for name, tenants := range map[string][]Tenant{
		"no name":           {{Keys: []string{"k"}}},
		"a name twice":      {{Name: "a", Keys: []string{"k"}}, {Name: "a", Keys: []string{"l"}}},
		"a key twice":       {{Name: "a", Keys: []string{"k", "k"}}},
		"a shared key":      {{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"l", "k"}}},
		"an empty key":      {{Name: "a", Keys: []string{""}}},
		"a very long key":   {{Name: "a", Keys: []string{strings.Repeat("k", 16384)}}},
		"a key of 2 lines":  {{Name: "a", Keys: []string{"k\nX: y"}}},
		"a name of 2 lines": {{Name: "a\nX: y", Keys: []string{"k"}}},
	} {
		control := &fakeControl{table: table.New()}
		err := (&Importer{Control: control}).Put(t.Context(), withTenants(1, tenants...))
		if !trace.IsBadParameter(err) || control.table.Version() != 0 {
			t.Errorf("%s: got error %v and table version %d, want BadParameter and 0", name, err, control.table.Version())
		}
		if name == "a shared key" && !(strings.Contains(err.Error(), `"a"`) && strings.Contains(err.Error(), `"b"`)) {
			t.Errorf("%s: the error does not name both tenants: %v", name, err)
		}
		if err != nil && strings.Contains(err.Error(), "kkkk") {
			t.Errorf("%s: the error contains a key: %v", name, err)
		}
	}
}
