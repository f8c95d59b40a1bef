package control

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// TestOwnerWithFailingCommandBlocksNoOtherClaims guards against a sweep that ends at the first owner whose command
// never gets an answer, which left the keys claimed by all other owners claimed forever.
func TestOwnerWithFailingCommandBlocksNoOtherClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ended []string
		orphanClaims(t.Context(), []string{"a", "b", "c"}, func(ctx context.Context, owner string) {
			if owner == "a" {
				<-ctx.Done()
				return
			}
			if ctx.Err() == nil {
				ended = append(ended, owner)
			}
		})
		if !slices.Equal(ended, []string{"b", "c"}) {
			t.Errorf("got the claims of %v ended, want those of b and c", ended)
		}
	})
}
