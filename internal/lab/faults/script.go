package faults

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Script is a run as data: how many of what, and steps in order.
//
// A line is a step, # begins a comment. The first lines say sizes: members N, voters N,
// runners N, seed N, zones N (members and runners in turn). WHO is a member's name, several separated by commas,
// all, leader, follower (the first voter that does not lead), or a name that an earlier
// step has given with "as NAME".
//
//	await leader [among WHO]            one of them leads by its own word and a majority's
//	await members N at WHO              those see N members alive
//	await out|in RUNNER at WHO          those leave the runner out by the log, or do not
//	await drained|served RUNNER at WHO  those send it nothing, or something
//	await equal [among WHO]             their copies and logs are the same
//	await log TEXT at WHO               their process has logged a text
//	await begun                         the log has all its voters
//	exclude|include RUNNER at WHO done|refused|any
//	drain|serve|remove RUNNER           by discovery, to those that are not held
//	break|mend RUNNER,...               they hang up on every job, or take them again
//	await few RUNNER,... at WHO N       of 300 jobs since its start it sent them N at most
//	hold|release WHO                    their discoveries tell nothing newer, or again all
//	mute|speak WHO                      their discoveries answer no call, or do again
//	cut WHO from WHO [oneway]           nothing goes between them, or from the first to the second
//	lossy WHO from WHO DROP TWICE LATE  shares of packets
//	slow WHO from WHO DURATION
//	reset WHO from WHO                  connections break
//	heal                                all links are whole
//	stall|wake WHO                      SIGSTOP, SIGCONT
//	kill|term|start WHO [as NAME]
//	rename WHO NAME                     it has another's name from its next start on
//	full|room WHO                       its files may not grow, or may again
//	foreign WHO                         facts and entries of a build of tomorrow
//	wipe WHO                            its part of the log is gone from the disk
//	tear WHO log|disk|snapshot          the file is cut in the middle
//	keep|restore WHO                    its folder is copied, and later put back as it was
//	snapshot WHO
//	leave NAME at WHO done|refused
//	recover WHO
//	cli WHO COMMAND WORD...             frosttide cluster COMMAND prints these words
//	job KEY CLASS at WHO                a client sends a job; runners don't say that it is done
//	await sent KEY                      a runner has it
//	retry KEY CLASS at WHO STATUS       its client sends it again; the answer's status, 0 for any
//	load on|off                         each member's client sends jobs all the time
//	flood N                             N changes of the list at once
//	garble WHO                          packets and connections that make no sense
type Script struct {
	Name                            string
	Members, Voters, Runners, Zones int
	Seed                            uint64
	Alone                           bool // the members' settings name no others, for comparison
	Steps                           []Step
}

// Step is one line.
type Step struct {
	Line  int
	Words []string
}

func (s Step) String() string { return strings.Join(s.Words, " ") }

// The bounds of a script.
const (
	mostMembers = 15
	mostRunners = 2000
	mostSteps   = 500
)

// verbs are the steps there are, and the least words of each.
var verbs = map[string]int{"await": 2, "exclude": 5, "include": 5, "drain": 2, "serve": 2, "remove": 2, "hold": 2, "release": 2, "cut": 4,
	"lossy": 7, "slow": 5, "reset": 4, "heal": 1, "stall": 2, "wake": 2, "kill": 2, "term": 2, "start": 2, "wipe": 2, "tear": 3, "keep": 2,
	"restore": 2, "snapshot": 2, "leave": 5, "recover": 2, "job": 5, "retry": 6, "rename": 3, "mute": 2, "cli": 4, "break": 2, "mend": 2, "speak": 2, "full": 2, "room": 2, "foreign": 2, "load": 2, "flood": 2, "garble": 2}

// Parse reads a script. Its error names file, line and reason.
func Parse(name, text string) (*Script, error) {
	s := &Script{Name: name, Members: 3, Voters: 3, Runners: 3, Zones: 1, Seed: 1}
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		wrong := func(why string) error { return fmt.Errorf("%s:%d: %s: %s", name, i+1, w[0], why) }
		if slices.Contains([]string{"members", "voters", "runners", "seed", "zones"}, w[0]) {
			if len(w) != 2 {
				return nil, wrong("one number is wanted")
			}
			n, err := strconv.Atoi(w[1])
			if err != nil || n < 1 {
				return nil, wrong(fmt.Sprintf("%q is no number above 0", w[1]))
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
		least, ok := verbs[w[0]]
		if !ok {
			return nil, wrong("there is no such step")
		}
		if len(w) < least {
			return nil, wrong(fmt.Sprintf("%d words are wanted", least))
		}
		s.Steps = append(s.Steps, Step{i + 1, w})
	}
	switch {
	case s.Members > mostMembers || s.Runners > mostRunners || len(s.Steps) > mostSteps:
		return nil, fmt.Errorf("%s: at most %d members, %d runners and %d steps", name, mostMembers, mostRunners, mostSteps)
	case s.Zones > 8:
		return nil, fmt.Errorf("%s: at most 8 zones", name)
	case s.Voters > s.Members:
		return nil, fmt.Errorf("%s: voters: %d of %d members", name, s.Voters, s.Members)
	case len(s.Steps) == 0:
		return nil, fmt.Errorf("%s: it has no steps", name)
	}
	return s, nil
}
