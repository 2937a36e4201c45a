package mutate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChecksApply has each mutation still be possible in the source as it is, under a name of its own.
func TestChecksApply(t *testing.T) {
	names := make(map[string]bool)
	for _, m := range Mutations {
		require.NoError(t, Validate("../../../..", m), m.Name)
		require.False(t, names[m.Name], m.Name)
		names[m.Name] = true
	}
	require.GreaterOrEqual(t, len(Mutations), 20)
}

// TestTextThatIsNotThere has a mutation whose text has changed meanwhile told by its error.
func TestTextThatIsNotThere(t *testing.T) {
	require.ErrorIs(t, Validate("../../../..", Mutation{Name: "none", File: viewFile, Original: "no such text"}), ErrOriginalNotUnique)
}
