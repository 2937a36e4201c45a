package signalsoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of action on a process.
type Kind string

// The kinds of actions.
const (
	Terminate       Kind = "terminate"        // SIGTERM, then a restart after the exit
	TerminateSeries Kind = "terminate series" // SIGTERM, repeated until the process has exited
	Kill            Kind = "kill"             // SIGKILL, then a restart
	StartSeries     Kind = "start series"     // started and killed Count times in a row
	Pause           Kind = "pause"            // SIGSTOP, then SIGCONT after Length
	Hangup          Kind = "hangup"           // SIGHUP, Count times in a row
	HangupInvalid   Kind = "hangup invalid"   // like Hangup, while the settings file is invalid
	Change          Kind = "change"           // configuration change, Count times in a row
)

// Action is one planned action on a target.
type Action struct {
	At     time.Duration // since the start of the schedule
	Target int           // from 0 to Config.Targets - 1
	Kind   Kind
	Length time.Duration // duration of a pause; otherwise delay between an exit and the next start
	Count  int           // repetitions, for the kinds that repeat
}

// Schedule is the list of actions drawn from a seed.
type Schedule struct {
	Seed     uint64
	Length   time.Duration
	Restarts [][]Action // by target; an action starts once the one before it has ended
	Signals  []Action   // of all targets; each starts at its time, whatever else is in progress
}

// Config holds the parameters of Draw.
type Config struct {
	Seed     uint64
	Targets  int
	Length   time.Duration // actions start within this time, those of a burst up to 500 ms later
	Restarts int           // total over all targets
	Signals  int           // total over all targets
	Kinds    []Kind        // of restarts; repeat one to weight it; nil for a default mix
}

const (
	maxSeries = 5                      // Action.Count
	maxPause  = 2 * time.Second        // Action.Length of a pause
	maxGap    = 600 * time.Millisecond // Action.Length of other kinds
)

// Draw returns the schedule of a seed; equal configs give equal schedules. About half of the
// restarts and signals belong to bursts, which affect several targets within half a second.
func Draw(c Config) Schedule {
	rng := rand.New(rand.NewPCG(c.Seed, 0x516e41))
	kinds := c.Kinds
	if kinds == nil {
		kinds = []Kind{Terminate, Terminate, TerminateSeries, Kill, Kill, StartSeries, Pause, Pause}
	}
	s := Schedule{Seed: c.Seed, Length: c.Length, Restarts: make([][]Action, c.Targets)}
	burstStarts := drawBurstStarts(rng, c.Length)
	for range c.Restarts {
		a := drawAction(rng, c, burstStarts, kinds)
		s.Restarts[a.Target] = append(s.Restarts[a.Target], a)
	}
	for range c.Signals {
		s.Signals = append(s.Signals, drawAction(rng, c, burstStarts, []Kind{Hangup, Hangup, HangupInvalid, Change, Change}))
	}
	byTime := func(a, b Action) int { return cmp.Compare(a.At, b.At) }
	for _, actions := range s.Restarts {
		slices.SortStableFunc(actions, byTime)
	}
	slices.SortStableFunc(s.Signals, byTime)
	return s
}

// burstLength bounds the time between the first and the last action of a burst.
const burstLength = 500 * time.Millisecond

// drawBurstStarts draws the start times of the bursts: one, and one more for every four seconds.
func drawBurstStarts(rng *rand.Rand, length time.Duration) (starts []time.Duration) {
	for range 1 + int(length/(4*time.Second)) {
		starts = append(starts, time.Duration(rng.Int64N(int64(length))))
	}
	return starts
}

// drawAction draws an action of one of the kinds; with even odds it belongs to a burst.
func drawAction(rng *rand.Rand, c Config, burstStarts []time.Duration, kinds []Kind) Action {
	at := time.Duration(rng.Int64N(int64(c.Length)))
	if rng.IntN(2) == 0 {
		at = burstStarts[rng.IntN(len(burstStarts))] + time.Duration(rng.Int64N(int64(burstLength)))
	}
	a := Action{At: at, Target: rng.IntN(c.Targets), Kind: kinds[rng.IntN(len(kinds))], Count: 1 + rng.IntN(maxSeries)}
	a.Length = time.Duration(rng.Int64N(int64(maxGap)))
	if a.Kind == Pause {
		a.Length = time.Duration(rng.Int64N(int64(maxPause)))
	}
	return a
}
