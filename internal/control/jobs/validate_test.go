package jobs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

func TestValidate(t *testing.T) {
	valid := func() *protocol.Submit { return &protocol.Submit{Id: testJobID, Stages: []*protocol.Stage{{Count: 1}}} }
	require.NoError(t, Validate(valid()))
	for _, tc := range []struct {
		name   string
		change func(*protocol.Submit)
		want   string
	}{
		{"id", func(s *protocol.Submit) { s.Id = "xyz" }, "the job's ID is not 16 hex digits"},
		{"no stages", func(s *protocol.Submit) { s.Stages = nil }, "Stages: there are 0, 1 to 100 are taken"},
		{"no tasks", func(s *protocol.Submit) { s.Stages[0].Count = 0 }, "Stages[0].Count: 0 is not 1 to 10000"},
		{"too many tasks", func(s *protocol.Submit) { s.Stages[0].Count = 1 << 30 }, "Stages[0].Count: 1073741824 is not 1 to 10000"},
		{"depends on", func(s *protocol.Submit) { s.Stages[0].DependsOn = []uint32{0} }, "Stages[0].DependsOn: step 0 is not an earlier one"},
		{"negative resources", func(s *protocol.Submit) { s.Stages[0].Cpu = -1 }, "Stages[0].Cpu, MemMb, Gpus, EstimateMs: one is below 0"},
		{"spec too long", func(s *protocol.Submit) { s.Spec = string(make([]byte, 4001)) }, "Spec: it is longer than 4000 characters or no text"},
		{"spec not UTF-8", func(s *protocol.Submit) { s.Spec = "\xff" }, "Spec: it is longer than 4000 characters or no text"},
		{"requirements not UTF-8", func(s *protocol.Submit) { s.Stages[0].Requirements = "\xff" }, "Stages[0].Requirements, Affinity: one is no text"},
		{"interval", func(s *protocol.Submit) { s.IntervalMs = -1 }, "StartAtMs, IntervalMs: they are below 0"},
		{"too many occurrences", func(s *protocol.Submit) { s.MaxRuns = 1 << 30 }, "MaxRuns: 1073741824 is more than 100000"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := valid()
			tc.change(s)
			err := Validate(s)
			var invalid *ValidationError
			require.ErrorAs(t, err, &invalid)
			require.EqualError(t, err, tc.want)
		})
	}
}
