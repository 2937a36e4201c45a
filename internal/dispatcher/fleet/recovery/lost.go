// Package recovery decides what may be done while a fleet of members comes back after most of
// it has restarted or lost what it had stored. It goes by evidence, what members have on their
// disks and what they say they once knew, and not by how long anything took. The package is
// pure: no I/O, no clock.
package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Member is what a member that is alive says of itself.
type Member struct {
	Name string
	Disk bool   // it keeps a log on a disk
	Log  bool   // its log has begun
	Knew uint64 // how far it knows that an agreed log once went; 0 for nothing
}

// Standing is how the agreed log stands.
type Standing uint8

// The standings.
const (
	Stands Standing = iota // a voter has it, or nobody can tell yet: the engine decides
	Begins                 // all voters are here, and nobody knows of any: it may begin
	Lost                   // all voters are here without it, and somebody knows of it: an operator decides
)

// Verdict is a standing and what is known.
type Verdict struct {
	Standing Standing
	Why      string   // for people, where it is lost
	Upto     uint64   // where it is lost: how far it had gone at least
	Holders  []string // and who has a log of it, or knows of it, the furthest first
}

// Judge tells how the log stands, by the voters' names and all members that are alive. Guards
// what was agreed against a new log beside it or in its place: a fleet whose voters all come
// back with empty disks looks like a new one but for what others, or the voters themselves in
// another folder, still know.
func Judge(voters []string, alive []Member) Verdict {
	present := 0
	var know []Member
	for _, m := range alive {
		if slices.Contains(voters, m.Name) {
			if m.Log {
				return Verdict{}
			}
			if m.Disk {
				present++
			}
		}
		if m.Log || m.Knew > 0 {
			know = append(know, m)
		}
	}
	if len(voters) == 0 || present < len(voters) {
		return Verdict{}
	}
	if len(know) == 0 {
		return Verdict{Standing: Begins}
	}
	slices.SortFunc(know, func(a, b Member) int {
		return cmp.Or(-cmp.Compare(a.Knew, b.Knew), cmp.Compare(a.Name, b.Name))
	})
	v := Verdict{Standing: Lost, Upto: know[0].Knew}
	for _, m := range know {
		v.Holders = append(v.Holders, m.Name)
	}
	v.Why = fmt.Sprintf("no voter has the agreed log, which had gone to entry %d at least; entries after that, if there were any, are unknown. "+
		"%s knows most of it: stop it, say frosttide cluster recover there, and start it", v.Upto, v.Holders[0])
	if n := len(v.Holders); n > 1 {
		v.Why += "; others that know of it: " + strings.Join(v.Holders[1:], ", ")
	}
	return v
}

// Older tells whether a disk is from before what its member has acknowledged: its log is
// shorter than what the member kept elsewhere. An empty one is a new one, and not older.
func Older(kept, last uint64) bool { return last > 0 && last < kept }
