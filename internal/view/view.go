// Package view holds the arithmetic of views: quorums of voters, the length of the chain, ballots, and
// the choice of the next view. It keeps no state.
package view

import (
	"cmp"
	"slices"

	"frosttide/internal/protocol"
)

// proposerBits is how much of a ballot names its proposer.
const proposerBits = 16

// NextProposalNumber returns the lowest ballot of a proposer that is above another ballot.
func NextProposalNumber(above uint64, proposer uint32) uint64 {
	return (above>>proposerBits+1)<<proposerBits | uint64(proposer)
}

// Majority returns how many of n voters are a majority.
func Majority(n int) int { return n/2 + 1 }

// ChainLength returns how many members keep every write: enough to bear the loss of the disks of
// faults machines while all others lose power, and enough that every majority of the voters
// contains one of them.
func ChainLength(voters, faults int) int {
	return min(voters, max(faults+1, voters-Majority(voters)+1))
}

// Find returns the member with an id, nil if there is none.
func Find(members []*protocol.Member, id uint64) *protocol.Member {
	for _, m := range members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// Electorate returns the voters of a view and those before a change that may still count, each once.
func Electorate(v *protocol.View) []*protocol.Member {
	out := slices.Clone(v.GetVoters())
	for _, m := range v.GetPrevious() {
		if Find(out, m.GetId()) == nil {
			out = append(out, m)
		}
	}
	return out
}

// Quorum tells whether members are a majority of a view's voters, and of those before the change
// where there are any.
func Quorum(v *protocol.View, has func(id uint64) bool) bool {
	return hasMajority(v.GetVoters(), has) && (len(v.GetPrevious()) == 0 || hasMajority(v.GetPrevious(), has))
}

func hasMajority(voters []*protocol.Member, has func(id uint64) bool) bool {
	count := 0
	for _, m := range voters {
		if has(m.GetId()) {
			count++
		}
	}
	return count >= Majority(len(voters))
}

// Valid tells whether a view that was agreed can be what it says: its voters and the members of its chain have
// identities of their own, and all of the chain vote. Messages that say otherwise are dropped.
func Valid(v *protocol.View) bool {
	if v.GetEpoch() == 0 || len(v.GetChain()) == 0 {
		return false
	}
	for i, m := range v.GetVoters() {
		if m.GetId() == 0 || m.GetAddress() == "" || Find(v.GetVoters()[:i], m.GetId()) != nil {
			return false
		}
	}
	for i, id := range v.GetChain() {
		if Find(v.GetVoters(), id) == nil || slices.Contains(v.GetChain()[:i], id) {
			return false
		}
	}
	return true
}

// Head returns the id of the chain's head, 0 where there is no chain.
func Head(v *protocol.View) uint64 {
	if len(v.GetChain()) == 0 {
		return 0
	}
	return v.GetChain()[0]
}

// Tail returns the id of the chain's tail, 0 where there is no chain.
func Tail(v *protocol.View) uint64 {
	if len(v.GetChain()) == 0 {
		return 0
	}
	return v.GetChain()[len(v.GetChain())-1]
}

// ChainPosition returns a member's place in the chain from 0 at the head, -1 if it is not in it.
func ChainPosition(v *protocol.View, id uint64) int { return slices.Index(v.GetChain(), id) }

// MemberState is what a voter that promised says of itself.
type MemberState struct {
	Member         uint64
	InstalledEpoch uint64
	Index          uint64
	DiskBad        bool // slow, stalled or failed
	Zone           string
}

// Change is a wish to change the voters; the zero value wishes none.
type Change struct {
	Add    []*protocol.Member // their numbers are given by Next
	Remove []uint64
}

// Empty tells whether nothing is wished.
func (c Change) Empty() bool { return len(c.Add) == 0 && len(c.Remove) == 0 }

// Next returns the view that follows base under a ballot, from what the promisers said, and false
// where too few of them could keep the state. keep is preferred as the head where its state is as new
// as any, 0 prefers none. The caller holds a quorum of promises for base.
func Next(base *protocol.View, proposalNumber uint64, promisers []MemberState, faults int, preferredHead uint64, change Change) (*protocol.View, bool) {
	next := &protocol.View{Epoch: proposalNumber, NextNumber: base.GetNextNumber()}
	next.Voters, next.Previous = nextVoters(base, next, change)
	ranked := rankForHead(next, promisers, preferredHead)
	length := ChainLength(len(next.GetVoters()), faults)
	if len(ranked) < length || ranked[0].DiskBad && preferredHead != ranked[0].Member {
		return nil, false
	}
	next.Chain = append(next.Chain, ranked[0].Member)
	next.Chain = append(next.Chain, pickSuccessors(ranked[0], ranked[1:], length-1)...)
	return next, true
}

// nextVoters applies a change. Without one the voters stay; previous ones are dropped, as the base
// has been agreed by a quorum of both sets before anybody is asked for another change.
func nextVoters(base, next *protocol.View, change Change) (voters, previous []*protocol.Member) {
	if change.Empty() {
		return base.GetVoters(), base.GetPrevious()
	}
	for _, m := range base.GetVoters() {
		if !slices.Contains(change.Remove, m.GetId()) {
			voters = append(voters, m)
		}
	}
	for _, m := range change.Add {
		voters = append(voters, &protocol.Member{Id: m.GetId(), Number: next.NextNumber, Address: m.GetAddress(), Control: m.GetControl(), Zone: m.GetZone()})
		next.NextNumber++
	}
	return voters, base.GetVoters()
}

// rankForHead orders the promisers that will be voters: the source of the state first.
func rankForHead(next *protocol.View, promisers []MemberState, preferredHead uint64) []MemberState {
	newest := uint64(0)
	for _, s := range promisers {
		newest = max(newest, s.InstalledEpoch)
	}
	ranked := slices.DeleteFunc(slices.Clone(promisers), func(s MemberState) bool { return Find(next.GetVoters(), s.Member) == nil })
	class := func(s MemberState) int {
		switch {
		case s.InstalledEpoch == newest && s.Member == preferredHead:
			return 0
		case s.InstalledEpoch == newest && !s.DiskBad:
			return 1
		case s.InstalledEpoch == newest:
			return 2
		default:
			return 3
		}
	}
	slices.SortStableFunc(ranked, func(a, b MemberState) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(b.Index, a.Index), cmp.Compare(a.Member, b.Member))
	})
	if len(ranked) == 0 || ranked[0].InstalledEpoch != newest {
		return nil // the only ones with the newest state are no voters any more
	}
	return ranked
}

// maxLagEntries is by how many entries a member may be behind the head's state to be taken for near: it has to take
// the rest before anything is written.
const maxLagEntries = 1024

// pickSuccessors picks the members behind the head: sound disks before others, members whose state is near before others,
// zones that are not in the chain yet before others, then by rank.
func pickSuccessors(head MemberState, candidates []MemberState, length int) (chain []uint64) {
	candidates = slices.Clone(candidates)
	zones := map[string]bool{head.Zone: true}
	lagging := func(s MemberState) bool { return s.Index+maxLagEntries < head.Index }
	for len(chain) < length {
		best := 0
		for i, s := range candidates {
			better := cmp.Or(compareBools(candidates[best].DiskBad, s.DiskBad), compareBools(lagging(candidates[best]), lagging(s)), compareBools(zones[candidates[best].Zone], zones[s.Zone]))
			if better > 0 {
				best = i
			}
		}
		chain = append(chain, candidates[best].Member)
		zones[candidates[best].Zone] = true
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chain
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
