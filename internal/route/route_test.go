package route

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// newView returns a view of a table with cells given as "row column value".
func newView(t interface{ Fatal(...any) }, texts ...string) *table.View {
	change := &wire.TableChange{ChangeId: "one", Operator: "test"}
	for _, text := range texts {
		parts := strings.SplitN(text, " ", 3)
		change.Cells = append(change.Cells, &wire.CellChange{Row: parts[0], Column: parts[1], Value: parts[2]})
	}
	made := table.New()
	if result := made.Apply(change); result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		t.Fatal(result)
	}
	view, err := table.NewView().Apply(made.UpdateSince(0))
	if err != nil {
		t.Fatal(err)
	}
	return view
}

// TestMatch covers hosts in upper case and with ports, nested prefixes, queries, and requests without a route.
func TestMatch(t *testing.T) {
	routes := NewTable(newView(t, "a kind pool", "b kind pool",
		"one kind route", "one host Shop.example", "one path_prefix /", "one pools a:90,b:10", "one route_kind repeatable",
		"two kind route", "two host shop.example", "two path_prefix /x/y/", "two pools b:1",
		"three kind route", "three host shop.example:81", "three path_prefix /x/", "three pools b:1"))
	for _, test := range []struct{ host, path, want string }{
		{"shop.example", "/", "one"}, {"SHOP.example:8080", "/x/y", "one"}, {"shop.example", "/x/y/", "two"},
		{"shop.example:81", "/x/y/z", "three"}, {"shop.example:81", "/", "one"}, {"shop.example", "/?a=/x/y/", "one"},
		{"other.example", "/", ""}, {"shop.example", "", ""}, {"", "/", ""},
	} {
		got := ""
		if found := routes.Match(test.host, test.path); found != nil {
			got = found.Name
		}
		if got != test.want {
			t.Errorf("%s%s: route %q, want %q", test.host, test.path, got, test.want)
		}
	}
	one := routes.Match("shop.example", "/")
	if len(one.Pools) != 2 || one.Pools[0] != (Share{"a", 90}) || !one.Repeatable() || routes.Match("shop.example", "/x/y/").Repeatable() {
		t.Fatalf("route %+v; want a repeatable one with two pools, a with weight 90 first, and route two not to be repeatable", one)
	}
}

// TestLongestPrefixWins compares Match with a direct search for the longest prefix of the path.
func TestLongestPrefixWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(rapid.StringMatching(`/([ab]/){0,4}`), 1, 6, rapid.ID[string]).Draw(t, "prefixes")
		texts := []string{"p kind pool"}
		for position, prefix := range prefixes {
			row := "r" + string(rune('0'+position))
			texts = append(texts, row+" kind route", row+" host h", row+" path_prefix "+prefix, row+" pools p:1")
		}
		path, want := rapid.StringMatching(`/([ab]/){0,5}[ab]?`).Draw(t, "path"), ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		found, got := NewTable(newView(t, texts...)).Match("h", path), ""
		if found != nil {
			got = found.PathPrefix
		}
		if got != want {
			t.Fatalf("%s: path prefix %q, want %q", path, got, want)
		}
	})
}
