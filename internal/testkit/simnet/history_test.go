package simnet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// register models the configuration as its operators see it: a compare-and-set register that holds
// a version, and the orders applied so far, which are acknowledged again whenever they are resent.
type register struct {
	version uint64
	applied string // numbers of the applied orders, each between commas
}

// has reports whether an order was applied.
func (r register) has(order int) bool { return strings.Contains(r.applied, fmt.Sprintf(",%d,", order)) }

// apply returns the register after an order, and whether the order is acknowledged.
func (r register) apply(c Call) (register, bool) {
	switch {
	case r.has(c.Order):
		return r, true
	case r.version != c.Match || c.Version <= r.version:
		return r, false
	default:
		return register{version: c.Version, applied: r.applied + fmt.Sprintf(",%d,", c.Order)}, true
	}
}

// configuration is the sequential model of the configuration.
var configuration = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, _ any) (bool, any) {
		r, c := state.(register), input.(Call)
		if c.Kind == ReadCall {
			return c.Version == r.version, r
		}
		next, acknowledged := r.apply(c)
		if c.Ended == 0 { // no definite answer: the order takes effect if it can
			return true, next
		}
		return acknowledged == c.Acknowledged, next
	},
}

// stateRanks orders the states of a job: the rank of its state never decreases.
var stateRanks = map[string]int{"pending": 0, "running": 1, "completed": 2, "failed": 2, "canceled": 2}

// jobState is the sequential model of a job's state as its clients see it.
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
		for _, history := range byJob {
			out = append(out, history)
		}
		return out
	},
}

// operations converts a simulation's calls of the given kinds to porcupine operations.
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

// TestHistoriesAreLinearizable checks that the calls of operators and clients, in simulations of
// many seeds, are linearizable: the configuration as a compare-and-set register, and the state of
// each job as one that never goes back.
func TestHistoriesAreLinearizable(t *testing.T) {
	seeds := uint64(16)
	if raceDetectorOn {
		seeds = 3
	}
	orders, undecided := 0, 0
	for seed := range seeds {
		r := Run(DefaultOptions(2000 + seed))
		require.Empty(t, r.Violations)
		config := operations(r, OrderCall, ReadCall)
		result := porcupine.CheckOperationsTimeout(configuration, config, 20*time.Second)
		require.NotEqual(t, porcupine.Illegal, result, "seed %d: calls on the configuration are not linearizable", 2000+seed)
		if result == porcupine.Unknown {
			undecided++
		}
		require.True(t, porcupine.CheckOperations(jobState, operations(r, StateCall)), "seed %d: reads of a job's state are not linearizable", 2000+seed)
		orders += len(config)
	}
	require.Greater(t, orders, 300)
	require.Less(t, undecided, int(seeds)/10+1, "histories that could not be checked within 20 s")
}

// TestModelsRejectImpossibleHistories checks that the models reject histories that must not occur.
func TestModelsRejectImpossibleHistories(t *testing.T) {
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
		{"the second of two orders on one version has no answer", configuration, []Call{first, indeterminate}, true},
		{"a read shows the version before an acknowledged order", configuration, []Call{first, {Kind: ReadCall, Began: 3, Ended: 4, Version: 0}}, false},
		{"an acknowledged order is refused when it is resent", configuration, []Call{first, {Kind: OrderCall, Began: 5, Ended: 6, Order: 1, Match: 0, Version: 1}}, false},
		{"a completed job is shown as running", jobState, []Call{completed, {Kind: StateCall, Began: 3, Ended: 4, State: "running"}}, false},
		{"a completed job is shown as failed", jobState, []Call{completed, {Kind: StateCall, Began: 3, Ended: 4, State: "failed"}}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			history := operations(&Report{Calls: tc.calls}, OrderCall, ReadCall, StateCall)
			require.Equal(t, tc.allowed, porcupine.CheckOperations(tc.model, history))
		})
	}
}
