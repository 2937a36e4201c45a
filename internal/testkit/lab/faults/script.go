package faults

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Script describes a run as data: the sizes of the fleet and the steps to take, in order.
//
// Each line is a step; # begins a comment. The first lines give the sizes: members N, voters N,
// runners N, seed N, zones N (members and runners are assigned to zones round-robin). WHO is a
// member's name, several separated by commas, all, leader, follower (the first voter that does not
// lead), a name that an earlier step assigned with "as NAME", others for all members but those, or
// holder-of-ID for the member that undoes workflow ID.
//
//	slots N QUEUE TIME                  a runner works on N jobs at once, each for TIME, and
//	                                    queues QUEUE more; it rejects further jobs before
//	                                    running them
//	cold SHARE WARM TIMES WITHIN        a restarted runner has SHARE of its capacity, full
//	                                    capacity after WARM, and is overloaded by TIMES what it
//	                                    can do, counted over WITHIN
//	settings LINE                       a further line of [recovery] in the members' settings
//	await leader [among WHO]            one of them reports that it leads, and a majority of the
//	                                    voters reports it as leader
//	await members N at WHO              they see N members alive
//	await out|in RUNNER at WHO          their applied log excludes the runner, or does not
//	await durable out|in RUNNER at WHO  their disks record the runner as excluded, or do not
//	await drained|served RUNNER at WHO  they send it no jobs, or some
//	await level                         measures the baseline of jobs served a second, over 3 s
//	                                    under load
//	await full SECONDS TIMES            95 of 100 of the baseline is served again in each of
//	                                    five seconds, within SECONDS of the last start, and no
//	                                    runner gets more than TIMES its baseline peak of jobs in
//	                                    a second
//	await equal [among WHO]             their replicas and logs are equal
//	await log TEXT at WHO               their process has logged a text
//	await begun                         the log has all its voters
//	await sharers N at WHO              they divide the capacity of cold runners by N
//	await trip MS at WHO                their probes measure at least MS to every other alive
//	                                    member
//	await stage NAME at WHO             they have reached this stage of recovery, or a later one
//	exclude|include RUNNER at WHO done|refused|any
//	                                    done: the order is repeated under its ID until it
//	                                    succeeds; on a fast disk the first request must succeed
//	drain|serve|remove RUNNER           discovery reports this state, to members that are not
//	                                    held
//	restart RUNNER,...|all              they restart cold
//	break|mend RUNNER,...               they close the connection on every job, or stop doing so
//	refuse|accept RUNNER,...            they reject every job before running it, or accept jobs
//	                                    again
//	await few RUNNER,... at WHO N       at most N of the member's first 300 jobs since its start
//	                                    went to these runners
//	hold|release WHO                    their discovery reports no newer version, or all again
//	mute|speak WHO                      their discovery answers no call, or answers again
//	cut WHO from WHO [oneway]           drops all traffic between them, or from the first to the
//	                                    second
//	lossy WHO from WHO DROP TWICE LATE  shares of packets that are dropped, duplicated and
//	                                    reordered
//	slow WHO from WHO DURATION          delays their traffic
//	reset WHO from WHO                  closes the connections between them
//	heal                                restores all links
//	stall|wake WHO                      SIGSTOP, SIGCONT
//	kill|term|start WHO [as NAME]       SIGKILL, SIGTERM, start; NAME refers to them in later
//	                                    steps
//	rename WHO NAME                     it uses another member's name from its next start on
//	full|room WHO                       its files may not grow, or may again
//	foreign WHO                         sends it facts as a newer build might
//	wipe WHO                            deletes its log from the disk
//	lose WHO                            deletes its log and its watermark directory
//	tear WHO log|disk|snapshot          truncates the file in the middle
//	keep|restore WHO                    copies its log directory, and later restores that copy
//	snapshot WHO                        asks it for a snapshot of the log
//	leave NAME at WHO done|refused      an operator removes member NAME from the voters
//	recover WHO                         runs frosttide cluster recover for it
//	cli WHO COMMAND WORD...             frosttide cluster COMMAND prints these words
//	job KEY CLASS at WHO                a client sends a job; runners do not report it as done
//	gangs                               members watch gangs, and may send second copies
//	gang ID PARTS WORK at WHO           sends the parts of a gang through the members in turn
//	lag RUNNER TIMES                    it processes parts of gangs TIMES slower
//	hang|unhang RUNNER                  it stops working on parts and reporting, or resumes
//	await ganged ID DURATION [MOST]     all parts are served within DURATION of their sending,
//	                                    and at most MOST copies of parts of any gang were sent
//	stored                              members store the list of runners and their state on
//	                                    disk
//	flows                               members execute workflows
//	flow begin ID at WHO DEADLINE LEASE done|refused|any
//	flow step ID N at WHO STATUS|any    its client sends the job of a step, of class release,
//	                                    with an undo
//	flow hang ID N at WHO any           the same, and the runner never reports it as done
//	flow commit|undo|touch|again|give-up ID at WHO done|refused|any
//	flow skip ID N at WHO done|refused|any
//	many N LEASE at WHO                 begins N workflows of two steps, whose clients then
//	                                    disconnect
//	await many DURATION                 all of them are undone
//	await flow ID PHASE at WHO          it is in this phase; give-up is written given-up
//	await taken ID N                    a runner has executed the undo of step N
//	spoil|unspoil KEY                   jobs of a key fail without an effect, or no longer
//	await sent KEY                      a runner has the job
//	await known KEY                     a runner has the job, or its client an answer
//	await forgotten KEY at WHO          a job of class once runs again, and not before its
//	                                    client has given up
//	await jobs N                        N more jobs have reached runners
//	retry KEY CLASS at WHO STATUS       its client repeats the job and expects this status, one
//	                                    of several separated by commas, or any for 0
//	clock WHO SECONDS                   the machine's clock is off by SECONDS from now on
//	withhold|tell KEY                   jobs of a key run without being reported as done, or are
//	                                    reported again
//	load on|off|retrying SHARE          each member's client sends jobs continuously; retrying:
//	                                    jobs arrive at random times at SHARE of the capacity of
//	                                    all runners, and clients retry refused jobs
//	flood N                             N changes of the list of runners at once
//	garble WHO                          sends it random packets and connections with random
//	                                    content
type Script struct {
	Name                            string
	Members, Voters, Runners, Zones int
	Seed                            uint64
	// Members run without a cluster, as a baseline for measurements.
	Alone        bool
	Slots, Queue int           // of each runner; 0 slots means no limit
	Cold         coldStart     // the capacity of runners after a restart
	Work         time.Duration // duration of a job
	// Members watch gangs, and may send second copies.
	Gangs  bool
	Stored bool // members store the list of runners on disk
	Flows  bool // members execute workflows
	// Further lines of [recovery] in members' settings.
	Settings []string
	Steps    []Step
}

// extra returns the further lines of [recovery] in the members' settings.
func (s *Script) extra() string { return strings.Join(s.Settings, "\n") + "\n" }

// Step is one line of a script that acts on the fleet or waits for it.
type Step struct {
	Line  int
	Words []string
}

// String returns the words of the step, separated by single spaces.
func (s Step) String() string { return strings.Join(s.Words, " ") }

// Upper bounds on the sizes of a script.
const (
	maxMembers = 15
	maxRunners = 2000
	maxSteps   = 500
)

// verbs maps each step's first word to the least number of words of such a step.
var verbs = map[string]int{"await": 2, "exclude": 5, "include": 5, "drain": 2, "serve": 2, "remove": 2, "hold": 2, "release": 2, "cut": 4,
	"lossy": 7, "slow": 5, "reset": 4, "heal": 1, "stall": 2, "wake": 2, "kill": 2, "term": 2, "start": 2, "wipe": 2, "lose": 2, "tear": 3, "keep": 2,
	"restore": 2, "snapshot": 2, "leave": 5, "recover": 2, "job": 5, "retry": 6, "rename": 3, "mute": 2, "cli": 4, "break": 2, "mend": 2, "restart": 2, "refuse": 2, "accept": 2, "speak": 2, "full": 2, "room": 2, "clock": 3, "foreign": 2, "many": 5, "gang": 6, "lag": 3, "hang": 2, "unhang": 2, "flow": 6, "spoil": 2, "unspoil": 2, "withhold": 2, "tell": 2, "load": 2, "flood": 2, "garble": 2}

// Parse reads a script. name identifies it in error messages, which give the line and the reason.
func Parse(name, text string) (*Script, error) {
	s := &Script{Name: name, Work: 5 * time.Millisecond, Members: 3, Voters: 3, Runners: 3, Zones: 1, Seed: 1}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		lineError := func(why string) error { return fmt.Errorf("%s:%d: %s: %s", name, i+1, w[0], why) }
		if slices.Contains([]string{"members", "voters", "runners", "seed", "zones"}, w[0]) {
			if len(w) != 2 {
				return nil, lineError("want exactly one number")
			}
			n, err := strconv.Atoi(w[1])
			if err != nil || n < 1 {
				return nil, lineError(fmt.Sprintf("%q is not a positive integer", w[1]))
			}
			switch w[0] {
			case "members":
				s.Members = n
			case "voters":
				s.Voters = n
			case "runners":
				s.Runners = n
			case "seed":
				s.Seed = uint64(n)
			case "zones":
				s.Zones = n
			}
			continue
		}
		if w[0] == "slots" {
			if len(w) != 4 {
				return nil, lineError("want the number of slots, the length of the queue and a duration")
			}
			var err1, err2, err3 error
			s.Slots, err1 = strconv.Atoi(w[1])
			s.Queue, err2 = strconv.Atoi(w[2])
			s.Work, err3 = time.ParseDuration(w[3])
			if err := errors.Join(err1, err2, err3); err != nil || s.Slots < 1 || s.Queue < 0 || s.Work <= 0 {
				return nil, lineError("want the number of slots, the length of the queue and a duration")
			}
			continue
		}
		if w[0] == "cold" {
			var err error
			if s.Cold, err = parseCold(w); err != nil {
				return nil, lineError(err.Error())
			}
			continue
		}
		if w[0] == "gangs" {
			s.Gangs = true
			continue
		}
		if w[0] == "stored" {
			s.Stored = true
			continue
		}
		if w[0] == "flows" {
			s.Flows = true
			continue
		}
		if w[0] == "settings" {
			s.Settings = append(s.Settings, strings.Join(w[1:], " "))
			continue
		}
		minWords, ok := verbs[w[0]]
		if !ok {
			return nil, lineError("unknown step")
		}
		if len(w) < minWords {
			return nil, lineError(fmt.Sprintf("want at least %d words", minWords))
		}
		s.Steps = append(s.Steps, Step{i + 1, w})
	}
	switch {
	case s.Members > maxMembers || s.Runners > maxRunners || len(s.Steps) > maxSteps:
		return nil, fmt.Errorf("%s: at most %d members, %d runners and %d steps", name, maxMembers, maxRunners, maxSteps)
	case s.Cold.share > 0 && s.Slots == 0:
		return nil, fmt.Errorf("%s: cold requires slots", name)
	case s.Zones > 8:
		return nil, fmt.Errorf("%s: at most 8 zones", name)
	case s.Voters > s.Members:
		return nil, fmt.Errorf("%s: %d voters, but only %d members", name, s.Voters, s.Members)
	case len(s.Steps) == 0:
		return nil, fmt.Errorf("%s: no steps", name)
	}
	return s, nil
}
