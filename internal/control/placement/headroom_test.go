package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeadroom checks that only work of less urgent priorities leaves headroom, and that the
// headroom decays to about 1/e after headroomDecay.
func TestHeadroom(t *testing.T) {
	h := NewHeadroom()
	h.Observe(0, Resources{CPU: 4000}, Resources{CPU: 6000}, 0)
	h.Observe(2, Resources{CPU: 9000}, Resources{}, 0)
	require.EqualValues(t, 6000, h.Required(2).CPU)
	require.Zero(t, h.Required(0).CPU)
	h.Observe(0, Resources{}, Resources{}, headroomDecay)
	remaining := h.Required(1).CPU
	require.Greater(t, remaining, int64(3000))
	require.Less(t, remaining, int64(4000))
}
