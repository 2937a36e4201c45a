package view

import (
	"cmp"
	"slices"

	"frosttide/internal/protocol"
)

const (
	// proposerBits is the number of low bits of a proposal number that hold the proposer's number. It is part of the
	// protocol.
	proposerBits = 16
	// maxLagEntries is the largest number of entries by which a member's state may lag behind the head's and still count as
	// close to it. A chain member has to fetch the missing entries before the head can serve.
	maxLagEntries = 1024
)

// NextProposalNumber returns the lowest proposal number of a proposer that is greater than the given proposal number.
func NextProposalNumber(above uint64, proposer uint32) uint64 {
	return (above>>proposerBits+1)<<proposerBits | uint64(proposer)
}

// Majority returns the smallest number of voters that is a majority of n.
func Majority(n int) int { return n/2 + 1 }

// ChainLength returns the number of members that store every write. It is large enough for the writes to survive the loss
// of the disks of as many machines as the given faults while all other machines lose power, and for every majority of the
// voters to contain a chain member.
func ChainLength(voters, faults int) int {
	return min(voters, max(faults+1, voters-Majority(voters)+1))
}

// Find returns the member with the given identity, or nil if there is none.
func Find(members []*protocol.Member, id uint64) *protocol.Member {
	for _, m := range members {
		if m.GetId() == id {
			return m
		}
	}
	return nil
}

// Electorate returns the voters of a view and the previous voters that still count, without duplicates.
func Electorate(v *protocol.View) []*protocol.Member {
	out := slices.Clone(v.GetVoters())
	for _, m := range v.GetPrevious() {
		if Find(out, m.GetId()) == nil {
			out = append(out, m)
		}
	}
	return out
}

// Quorum reports whether the members for which has is true are a majority of a view's voters and, if there are any, of its
// previous voters.
func Quorum(v *protocol.View, has func(id uint64) bool) bool {
	return hasMajority(v.GetVoters(), has) && (len(v.GetPrevious()) == 0 || hasMajority(v.GetPrevious(), has))
}

// hasMajority reports whether has is true for a majority of the voters.
func hasMajority(voters []*protocol.Member, has func(id uint64) bool) bool {
	count := 0
	for _, m := range voters {
		if has(m.GetId()) {
			count++
		}
	}
	return count >= Majority(len(voters))
}

// Valid reports whether a view is well formed, as every agreed view is: it has an epoch and a chain, its voters have
// distinct identities and an address, and its chain consists of distinct voters. Messages with invalid views are dropped.
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

// Head returns the identity of the chain's head, or 0 if there is no chain.
func Head(v *protocol.View) uint64 {
	if len(v.GetChain()) == 0 {
		return 0
	}
	return v.GetChain()[0]
}

// Tail returns the identity of the chain's tail, or 0 if there is no chain.
func Tail(v *protocol.View) uint64 {
	if len(v.GetChain()) == 0 {
		return 0
	}
	return v.GetChain()[len(v.GetChain())-1]
}

// ChainPosition returns a member's position in the chain, counted from 0 at the head, or -1 if it is not in the chain.
func ChainPosition(v *protocol.View, id uint64) int { return slices.Index(v.GetChain(), id) }

// MemberState is the state that a voter reports with its promise.
type MemberState struct {
	Member         uint64 // identity
	InstalledEpoch uint64 // newest epoch whose state is on the voter's disk
	Index          uint64 // index of the voter's last entry
	DiskBad        bool   // the disk is slow, stalled or failed
	Zone           string
}

// Change is a change of the voters. The zero value is empty.
type Change struct {
	Add    []*protocol.Member // Next assigns their numbers
	Remove []uint64           // identities
}

// Empty reports whether c neither adds nor removes voters.
func (c Change) Empty() bool { return len(c.Add) == 0 && len(c.Remove) == 0 }

// Next returns the view that follows base under a proposal number, given the states of the members that have promised, or
// false if these members cannot form a chain. The preferred head becomes the head if it has installed the newest epoch; 0
// stands for no preference. The caller must have promises of a quorum of base.
func Next(base *protocol.View, proposalNumber uint64, states []MemberState, faults int, preferredHead uint64, change Change) (*protocol.View, bool) {
	next := &protocol.View{Epoch: proposalNumber, NextNumber: base.GetNextNumber()}
	next.Voters, next.Previous = nextVoters(base, next, change)
	ranked := rankForHead(next, states, preferredHead)
	length := ChainLength(len(next.GetVoters()), faults)
	if len(ranked) < length || ranked[0].DiskBad && preferredHead != ranked[0].Member {
		return nil, false
	}
	next.Chain = append(next.Chain, ranked[0].Member)
	next.Chain = append(next.Chain, pickSuccessors(ranked[0], ranked[1:], length-1)...)
	return next, true
}

// nextVoters returns the voters and the previous voters after a change, and takes the numbers of new voters from next. An
// empty change keeps both sets. Any other change discards the previous voters of base: it is proposed only once a quorum
// of both sets has agreed on base.
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
		voters = append(voters, &protocol.Member{
			Id:      m.GetId(),
			Number:  next.NextNumber,
			Address: m.GetAddress(),
			Control: m.GetControl(),
			Zone:    m.GetZone(),
		})
		next.NextNumber++
	}
	return voters, base.GetVoters()
}

// rankForHead orders the members that will be voters from the best to the worst head; the first one is the source of the
// state. It returns nil if no member with the newest state will be a voter.
func rankForHead(next *protocol.View, states []MemberState, preferredHead uint64) []MemberState {
	newest := uint64(0)
	for _, s := range states {
		newest = max(newest, s.InstalledEpoch)
	}
	ranked := slices.DeleteFunc(slices.Clone(states), func(s MemberState) bool { return Find(next.GetVoters(), s.Member) == nil })
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
		return nil
	}
	return ranked
}

// pickSuccessors picks the chain members after the head. It prefers members with healthy disks, then members whose state is
// close to the head's, then members in zones without a chain member, then members earlier in candidates.
func pickSuccessors(head MemberState, candidates []MemberState, length int) (chain []uint64) {
	candidates = slices.Clone(candidates)
	zones := map[string]bool{head.Zone: true}
	lagging := func(s MemberState) bool { return s.Index+maxLagEntries < head.Index }
	for len(chain) < length {
		best := 0
		for i, s := range candidates {
			better := cmp.Or(
				compareBools(candidates[best].DiskBad, s.DiskBad),
				compareBools(lagging(candidates[best]), lagging(s)),
				compareBools(zones[candidates[best].Zone], zones[s.Zone]),
			)
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
