package simnet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// register is the configuration as its operators see it: a version that orders swap for another, and the orders that
// were taken, which are acknowledged whenever they come again.
type register struct {
	version uint64
	taken   string // numbers of the orders, each between commas
}

func (r register) has(order int) bool { return strings.Contains(r.taken, fmt.Sprintf(",%d,", order)) }

// swapped returns the register after an order, and false where it is refused.
func (r register) swapped(c Call) (register, bool) {
	switch {
	case r.has(c.Order):
		return r, true
	case r.version != c.Match || c.Version <= r.version:
		return r, false
	default:
		return register{version: c.Version, taken: r.taken + fmt.Sprintf(",%d,", c.Order)}, true
	}
}

// configuration is the configuration as a register with compare-and-set.
var configuration = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		r, c := state.(register), input.(Call)
		if c.Kind == ReadCall {
			return c.Version == r.version, r
		}
		next, taken := r.swapped(c)
		if c.Ended == 0 { // nobody knows: it takes effect where it can
			return true, next
		}
		return taken == c.Acknowledged, next
	},
}

// stateRanks order the states of a job, which only goes on.
var stateRanks = map[string]int{"pending": 0, "running": 1, "completed": 2, "failed": 2, "canceled": 2}

// jobState is a job's state as its clients see it.
var jobState = porcupine.Model{
	Init: func() any { return "pending" },
	Step: func(state, input, _ any) (bool, any) {
		before, shown := state.(string), input.(Call).State
		return shown == before || stateRanks[shown] > stateRanks[before], shown
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byJob := make(map[string][]porcupine.Operation)
		for _, o := range history {
			job := o.Input.(Call).Job
			byJob[job] = append(byJob[job], o)
		}
		var out [][]porcupine.Operation
		for _, one := range byJob {
			out = append(out, one)
		}
		return out
	},
}

// operations returns a simulation's calls of some kinds as porcupine takes them.
func operations(r *Report, kinds ...CallKind) (out []porcupine.Operation) {
	const end = int64(time.Hour)
	for i, c := range r.Calls {
		for _, kind := range kinds {
			if c.Kind != kind {
				continue
			}
			ended := int64(c.Ended)
			if ended == 0 {
				ended = end
			}
			out = append(out, porcupine.Operation{ClientId: i, Input: c, Call: int64(c.Began), Return: ended})
		}
	}
	return out
}

// TestHistories checks what operators and clients saw in simulations of many seeds against one register for the
// configuration, and one state for each job.
func TestHistories(t *testing.T) {
	seeds := uint64(16)
	if raceDetectorOn {
		seeds = 3
	}
	orders, unknown := 0, 0
	for seed := range seeds {
		r := Run(DefaultOptions(2000 + seed))
		require.Empty(t, r.Violations)
		config := operations(r, OrderCall, ReadCall)
		result := porcupine.CheckOperationsTimeout(configuration, config, 20*time.Second)
		require.NotEqual(t, porcupine.Illegal, result, "seed %d: the configuration is no register", 2000+seed)
		if result == porcupine.Unknown {
			unknown++
		}
		require.True(t, porcupine.CheckOperations(jobState, operations(r, StateCall)), "seed %d: a job's state goes back", 2000+seed)
		orders += len(config)
	}
	require.Greater(t, orders, 300)
	require.Less(t, unknown, int(seeds)/10+1, "histories too long to be checked")
}

// TestHistoriesThatCannotBe has the models refuse what must not happen.
func TestHistoriesThatCannotBe(t *testing.T) {
	first := Call{Kind: OrderCall, Began: 1, Ended: 2, Order: 1, Match: 0, Version: 1, Acknowledged: true}
	second := Call{Kind: OrderCall, Began: 3, Ended: 4, Order: 2, Match: 0, Version: 2, Acknowledged: true}
	completed := Call{Kind: StateCall, Began: 1, Ended: 2, State: "completed"}
	indeterminate := second
	indeterminate.Ended = 0
	for _, tc := range []struct {
		name    string
		model   porcupine.Model
		calls   []Call
		allowed bool
	}{
		{"two orders on one version are acknowledged", configuration, []Call{first, second}, false},
		{"the second of them without an answer", configuration, []Call{first, indeterminate}, true},
		{"a read shows the version before an acknowledged order", configuration, []Call{first, {Kind: ReadCall, Began: 3, Ended: 4, Version: 0}}, false},
		{"an acknowledged order is refused when it comes again", configuration, []Call{first, {Kind: OrderCall, Began: 5, Ended: 6, Order: 1, Match: 0, Version: 1}}, false},
		{"a completed job runs", jobState, []Call{completed, {Kind: StateCall, Began: 3, Ended: 4, State: "running"}}, false},
		{"a completed job has failed", jobState, []Call{completed, {Kind: StateCall, Began: 3, Ended: 4, State: "failed"}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			history := operations(&Report{Calls: tc.calls}, OrderCall, ReadCall, StateCall)
			require.Equal(t, tc.allowed, porcupine.CheckOperations(tc.model, history))
		})
	}
}
