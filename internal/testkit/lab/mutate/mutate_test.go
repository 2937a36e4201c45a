package mutate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChecksApply guards against mutations that no longer match the source, and against duplicate
// names.
func TestChecksApply(t *testing.T) {
	names := make(map[string]bool)
	for _, m := range Mutations {
		require.NoError(t, Validate("../../../..", m), m.Name)
		require.False(t, names[m.Name], m.Name)
		names[m.Name] = true
	}
	require.GreaterOrEqual(t, len(Mutations), 20)
}

// TestOriginalNotFound guards against a mutation whose source text has changed since: Validate has
// to return ErrOriginalNotUnique.
func TestOriginalNotFound(t *testing.T) {
	require.ErrorIs(t, Validate("../../../..", Mutation{Name: "none", File: viewFile, Original: "no such text"}), ErrOriginalNotUnique)
}
