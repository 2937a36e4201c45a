package mutate

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestChecksApply has each check still stand in its source as it is taken out, under a name of its own.
func TestChecksApply(t *testing.T) {
	names := make(map[string]bool)
	for _, c := range Mutations {
		require.NoError(t, Validate("../../../..", c), c.Name)
		require.False(t, names[c.Name], c.Name)
		names[c.Name] = true
	}
	require.GreaterOrEqual(t, len(Mutations), 20)
}

func TestTextThatIsNotThere(t *testing.T) {
	require.ErrorIs(t, Validate("../../../..", Mutation{Name: "none", File: viewFile, Original: "no such text"}), ErrOriginalNotUnique)
}
