package control

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
)

// TestOneOwnerKeepsNoOthersClaims: the command for the first owner never gets an answer. The sweep used to end there, at each look, so
// that keys claimed by the others stayed claimed for good.
func TestOneOwnerKeepsNoOthersClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var given []string
		orphanClaims(t.Context(), []string{"a", "b", "c"}, func(ctx context.Context, owner string) {
			if owner == "a" {
				<-ctx.Done()
				return
			}
			if ctx.Err() == nil {
				given = append(given, owner)
			}
		})
		if !slices.Equal(given, []string{"b", "c"}) {
			t.Errorf("given up: %v", given)
		}
	})
}
