package rosterpolicy

import "time"

// Age classifies the time since a runner was last confirmed. It determines how many successful
// probes the runner needs before it gets work.
type Age uint8

// The age classes, by the bounds of Config.
const (
	Fresh    Age = iota // at most Config.Fresh: used without a probe
	Old                 // at most Config.Old: used after one successful probe
	VeryOld             // at most Config.Max, or unknown: used after two successful probes
	Unusable            // over Config.Max: never used
)

// String returns the age class as it appears in logs and in the output of the state commands.
func (a Age) String() string { return [...]string{"fresh", "old", "very old", "unusable"}[a] }

// clockSkew is the tolerated clock difference: a confirmation may lie at most this far in the
// future, as the machine that made it may have a clock that is ahead.
const clockSkew = 5 * time.Second

// Age returns the age class at now of a runner that was last confirmed at confirmed; both are
// offsets from the Unix epoch. A confirmation that lies in the future means that the clock was set
// back, for example after a power failure. Its real age is unknown then, so it is classified as
// VeryOld: the runner is neither used without probes nor rejected.
func (c *Config) Age(now, confirmed time.Duration) Age {
	switch age := now - confirmed; {
	case age < -clockSkew:
		return VeryOld
	case age <= c.Fresh:
		return Fresh
	case age <= c.Old:
		return Old
	case age <= c.Max:
		return VeryOld
	}
	return Unusable
}

// Stored describes a runner of a stored list. Times are offsets from the Unix epoch.
type Stored struct {
	UID, Addr, Zone string
	Confirmed       time.Duration // when discovery or the runner last confirmed it
	Barred          bool          // it was draining, or operators had excluded it
	Failing         bool          // its last jobs failed; it needs one more success
	WarmingUpSince  time.Duration // earliest time at which it may have started; 0 for long ago
}

// Evidence is an observation of a runner's state, made by a probe or by running a job on it.
type Evidence uint8

// The kinds of evidence. Those up to Started show a healthy runner.
const (
	Answered  Evidence = iota // a probe got a runner's response from its address
	Connected                 // its address accepts connections; probe requests are not allowed
	Started                   // it reported, under its own uid, that a job is running
	Refused                   // its address refuses connections
	Broken                    // the connection was closed or reset
	Busy                      // it responded that it is unhealthy
	TimedOut                  // it did not respond within the timeout
	Impostor                  // another process responds at its address
)

// String returns the evidence as it appears in logs.
func (e Evidence) String() string {
	return [...]string{"answered", "connected", "started", "refused", "broken", "busy", "silent", "impostor"}[e]
}

// Good reports whether the evidence shows a healthy runner.
func (e Evidence) Good() bool { return e <= Started }

// Standing states whether a stored runner gets work and, if not, what has to happen first.
type Standing uint8

// The standings.
const (
	Withheld Standing = iota // no work until there is enough good evidence
	Waiting                  // healthy, but used only by other dispatchers until it has warmed up
	Used                     // gets work, limited by the warm-up budget until it has warmed up
	Barred                   // no work until discovery or an operator changes that
	Rejected                 // no work until discovery lists it: too old, or its address is taken
)

// String returns the standing as it appears in logs and in the output of the state commands.
func (s Standing) String() string {
	return [...]string{"withheld", "waiting", "used", "barred", "rejected"}[s]
}

// candidate is the state of a stored runner in the StateTable.
type candidate struct {
	Stored
	age             Age
	standing        Standing
	reason          string        // why it has its standing, for logs and the state commands
	successesNeeded int           // successes that are still required before it is used
	lastSuccess     time.Duration // time of the last success that lowered successesNeeded
	warmingUpSince  time.Duration // earliest time at which it may have started
	notRestarted    bool          // no sign of a restart since a planned shutdown of the dispatcher
	unhealthySince  time.Duration // time of the first failure since the last success; 0 for none
	proven          bool          // it has started a job since the table was created
	failures        int           // consecutive failures
	probeAt         time.Duration // earliest time of the next probe
	probing         bool          // a probe is in flight
	owned           bool          // this dispatcher may use it while it is cold
}
