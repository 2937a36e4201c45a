package view

import (
	"math/bits"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestChainMeetsEveryMajority checks for all chains and majorities of up to nine voters that each majority contains a
// member of each chain, and that a chain has more members than the number of tolerated faults.
func TestChainMeetsEveryMajority(t *testing.T) {
	for n := 1; n <= 9; n++ {
		for faults := range (n + 1) / 2 {
			length := ChainLength(n, faults)
			require.LessOrEqual(t, length, n, "chain length with %d voters and %d faults", n, faults)
			if n >= 2*faults+1 {
				require.Greater(t, length, faults, "chain length with %d voters and %d faults", n, faults)
			}
			for chain := range uint(1) << n {
				if bits.OnesCount(chain) != length {
					continue
				}
				for quorum := range uint(1) << n {
					if bits.OnesCount(quorum) == Majority(n) {
						require.NotZero(t, chain&quorum, "%d voters: chain %b misses majority %b", n, chain, quorum)
					}
				}
			}
		}
	}
}

// members returns members whose identities and numbers are the given ones.
func members(ids ...uint64) (out []*protocol.Member) {
	for _, id := range ids {
		out = append(out, &protocol.Member{Id: id, Number: uint32(id)})
	}
	return out
}

// TestProposalNumbersAreDistinct checks that two proposers have different proposal numbers, and that each next number is
// greater than the number that it follows.
func TestProposalNumbersAreDistinct(t *testing.T) {
	a, b := NextProposalNumber(0, 1), NextProposalNumber(0, 2)
	require.NotEqual(t, a, b)
	require.Greater(t, NextProposalNumber(b, 1), b)
	require.Greater(t, NextProposalNumber(a, 1), a)
}

// TestQuorumOfBothSets checks that during a change a quorum needs majorities of the voters and of the previous voters.
func TestQuorumOfBothSets(t *testing.T) {
	v := &protocol.View{Voters: members(1, 2, 3), Previous: members(3, 4, 5)}
	for _, tc := range []struct {
		name string
		ids  []uint64
		want bool
	}{
		{name: "majority of the voters only", ids: []uint64{1, 2}},
		{name: "majority of the previous voters only", ids: []uint64{4, 5}},
		{name: "majorities of both with a common voter", ids: []uint64{2, 3, 4}, want: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, Quorum(v, func(id uint64) bool { return slices.Contains(tc.ids, id) }))
		})
	}
}

// TestNextChain checks which chain Next chooses from the states of the members that have promised.
func TestNextChain(t *testing.T) {
	slowNewest := []MemberState{
		{Member: 1, InstalledEpoch: 7, Index: 10},
		{Member: 2, InstalledEpoch: 7, Index: 12, DiskBad: true},
		{Member: 3, InstalledEpoch: 6, Index: 10},
	}
	for _, tc := range []struct {
		name          string
		states        []MemberState
		preferredHead uint64
		change        Change
		want          []uint64 // nil if there is no next view
	}{
		{
			name: "the newest epoch, then the longest log",
			states: []MemberState{
				{Member: 1, InstalledEpoch: 5, Index: 80},
				{Member: 2, InstalledEpoch: 7, Index: 10},
				{Member: 3, InstalledEpoch: 7, Index: 12},
			},
			want: []uint64{3, 2},
		},
		{name: "the preferred head, not the longer log on an unhealthy disk", states: slowNewest, preferredHead: 1, want: []uint64{1, 3}},
		{name: "an unhealthy disk does not become the head", states: slowNewest, want: []uint64{1, 3}},
		{name: "too few members for a chain", states: []MemberState{{Member: 1, InstalledEpoch: 7}}},
		{
			name:   "the only member with the newest state is no longer a voter",
			states: []MemberState{{Member: 1, InstalledEpoch: 7}, {Member: 2, InstalledEpoch: 3}, {Member: 3}},
			change: Change{Remove: []uint64{1}},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			base := &protocol.View{Epoch: 1, Voters: members(1, 2, 3), NextNumber: 4}
			next, ok := Next(base, 9, tc.states, 1, tc.preferredHead, tc.change)
			require.Equal(t, tc.want != nil, ok)
			require.Equal(t, tc.want, next.GetChain())
			if ok {
				require.EqualValues(t, 9, next.GetEpoch())
			}
		})
	}
}

// TestChangeOfVotersIsJoint checks that after the replacement of a voter the previous voters still count and the new voter
// has a new number.
func TestChangeOfVotersIsJoint(t *testing.T) {
	base := &protocol.View{Epoch: 1, Voters: members(1, 2, 3), NextNumber: 4}
	states := []MemberState{{Member: 1, InstalledEpoch: 7}, {Member: 2, InstalledEpoch: 7}, {Member: 9}}
	next, ok := Next(base, 9, states, 1, 1, Change{Add: []*protocol.Member{{Id: 9, Address: "a"}}, Remove: []uint64{3}})
	require.True(t, ok)
	require.Len(t, next.GetVoters(), 3)
	require.EqualValues(t, 4, Find(next.GetVoters(), 9).GetNumber())
	require.EqualValues(t, 5, next.GetNextNumber())
	require.Len(t, next.GetPrevious(), 3)
	require.Len(t, Electorate(next), 4)
}

// TestValid checks that an agreed view is valid, and that malformed views from messages are not.
func TestValid(t *testing.T) {
	voters := []*protocol.Member{{Id: 1, Address: "a"}, {Id: 2, Address: "b"}}
	for _, tc := range []struct {
		name string
		view *protocol.View
		want bool
	}{
		{name: "agreed", view: &protocol.View{Epoch: 1, Voters: voters, Chain: []uint64{2, 1}}, want: true},
		{name: "no view"},
		{name: "no epoch", view: &protocol.View{Voters: voters, Chain: []uint64{1}}},
		{name: "no chain", view: &protocol.View{Epoch: 1, Voters: voters}},
		{name: "a chain member that is no voter", view: &protocol.View{Epoch: 1, Voters: voters, Chain: []uint64{3}}},
		{name: "a chain member twice", view: &protocol.View{Epoch: 1, Voters: voters, Chain: []uint64{1, 1}}},
		{name: "a voter twice", view: &protocol.View{Epoch: 1, Voters: append(voters[:2:2], voters[0]), Chain: []uint64{1}}},
		{name: "a voter without an identity", view: &protocol.View{Epoch: 1, Voters: []*protocol.Member{{Address: "a"}}, Chain: []uint64{0}}},
		{name: "a voter without an address", view: &protocol.View{Epoch: 1, Voters: []*protocol.Member{{Id: 1}}, Chain: []uint64{1}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, Valid(tc.view))
		})
	}
}
