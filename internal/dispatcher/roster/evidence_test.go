package roster

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterpolicy"
)

// TestOutcomeEvidence checks what failed attempts show about a runner: one that refuses the
// connection may be restarting, one that does not answer in time is silent.
func TestOutcomeEvidence(t *testing.T) {
	for _, c := range []struct {
		name     string
		outcome  decision.Outcome
		delivery core.Delivery
		want     rosterpolicy.Evidence
	}{
		{"refused", decision.ConnectFailed, core.Delivery{}, rosterpolicy.Refused},
		{"no answer to the connection", decision.ConnectFailed, core.Delivery{NoConnection: true}, rosterpolicy.TimedOut},
		{"no answer to the job", decision.TimedOut, core.Delivery{}, rosterpolicy.TimedOut},
		{"reset", decision.ConnReset, core.Delivery{}, rosterpolicy.Broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, counts := outcomeEvidence(c.outcome, c.delivery)
			require.True(t, counts)
			require.Equal(t, c.want, got)
		})
	}
}
