// Package recovery decides what a fleet may do while its members rejoin after most of them have
// restarted or lost their disks. Its decisions are based on evidence (what the members have on
// disk, and the highest log index that they know of), never on elapsed time.
//
// Package quorum assesses the replicated log with it, package cluster chooses the member to fetch
// shared state from, and the core adjusts the run times that other members report. Invariant: no
// new log is started while any live member has the previous one or knows of it.
//
// The package is pure: it does no I/O, reads no clock, and all its functions are safe for
// concurrent use.
package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Member is the recovery information that a live member publishes about itself.
type Member struct {
	Name       string
	Disk       bool   // it stores its log on a disk
	Log        bool   // its log has at least one entry
	KnownIndex uint64 // highest index that it knows the log to have reached; 0 if it knows none
}

// LogState classifies the replicated log as seen from one member.
type LogState uint8

// The states of the replicated log.
const (
	Undecided    LogState = iota // a voter has the log, or not every voter is present with a disk: Raft decides
	MayBootstrap                 // all voters are present and no member knows of a log
	Lost                         // all voters are present without a log and some member knows of one: an operator decides
)

// Verdict is a log state with the evidence for it.
type Verdict struct {
	State      LogState
	Why        string   // for Lost: an explanation for operators, with the next step
	KnownIndex uint64   // for Lost: the log had reached at least this index
	Holders    []string // for Lost: members that have the log or know of it, highest index first
}

// AssessLog classifies the log by the names of the configured voters and the members that are
// alive. It prevents the loss of committed entries by a second log that is started beside or in
// place of the first: a fleet whose voters all return with empty disks looks like a new fleet, and
// only the other members, or the voters' own watermarks, still know of the log.
func AssessLog(voters []string, alive []Member) Verdict {
	presentVoters := 0
	var holders []Member
	for _, m := range alive {
		if slices.Contains(voters, m.Name) {
			if m.Log {
				return Verdict{}
			}
			if m.Disk {
				presentVoters++
			}
		}
		if m.Log || m.KnownIndex > 0 {
			holders = append(holders, m)
		}
	}
	if len(voters) == 0 || presentVoters < len(voters) {
		return Verdict{}
	}
	if len(holders) == 0 {
		return Verdict{State: MayBootstrap}
	}
	slices.SortFunc(holders, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(a.KnownIndex, b.KnownIndex), cmp.Compare(a.Name, b.Name))
	})
	v := Verdict{State: Lost, KnownIndex: holders[0].KnownIndex}
	for _, m := range holders {
		v.Holders = append(v.Holders, m.Name)
	}
	v.Why = fmt.Sprintf("no voter has the agreed log, which had gone to entry %d at least; entries after that, if there were any, are unknown. "+
		"%s knows most of it: stop it, say frosttide cluster recover there, and start it", v.KnownIndex, v.Holders[0])
	if n := len(v.Holders); n > 1 {
		v.Why += "; others that know of it: " + strings.Join(v.Holders[1:], ", ")
	}
	return v
}

// DiskOutdated reports whether a disk is older than what its member has acknowledged, as after the
// restore of an old copy: the log on it ends at index last, which is less than the watermark that
// is stored elsewhere. An empty disk (last is 0) is new and not outdated.
func DiskOutdated(watermark, last uint64) bool { return last > 0 && last < watermark }
