package view

import (
	"math/bits"
	"testing"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

// TestChainMeetsEveryMajority holds the two promises of a chain's length: each majority of the voters has a
// member of each chain in it, and a chain outlives the disks that may be lost.
func TestChainMeetsEveryMajority(t *testing.T) {
	for n := 1; n <= 9; n++ {
		for faults := range (n + 1) / 2 {
			length := ChainLength(n, faults)
			require.LessOrEqual(t, length, n)
			if n >= 2*faults+1 {
				require.Greater(t, length, faults, "%d voters, %d faults", n, faults)
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

func members(ids ...uint64) (out []*protocol.Member) {
	for _, id := range ids {
		out = append(out, &protocol.Member{Id: id, Number: uint32(id)})
	}
	return out
}

func TestProposalNumbersAreDistinct(t *testing.T) {
	a, b := NextProposalNumber(0, 1), NextProposalNumber(0, 2)
	require.NotEqual(t, a, b)
	require.Greater(t, NextProposalNumber(b, 1), b)
	require.Greater(t, NextProposalNumber(a, 1), a)
}

func TestQuorumOfBothSets(t *testing.T) {
	v := &protocol.View{Voters: members(1, 2, 3), Previous: members(3, 4, 5)}
	has := func(ids ...uint64) func(uint64) bool {
		return func(id uint64) bool {
			for _, x := range ids {
				if x == id {
					return true
				}
			}
			return false
		}
	}
	require.False(t, Quorum(v, has(1, 2)))
	require.False(t, Quorum(v, has(4, 5)))
	require.True(t, Quorum(v, has(2, 3, 4)))
}

func TestNextTakesTheNewestState(t *testing.T) {
	base := &protocol.View{Epoch: 1, Voters: members(1, 2, 3), NextNumber: 4}
	next, ok := Next(base, 9, []MemberState{{Member: 1, InstalledEpoch: 5, Index: 80}, {Member: 2, InstalledEpoch: 7, Index: 10}, {Member: 3, InstalledEpoch: 7, Index: 12}}, 1, 0, Change{})
	require.True(t, ok)
	require.Equal(t, []uint64{3, 2}, next.GetChain())
	require.EqualValues(t, 9, next.GetEpoch())
}

func TestNextPrefersTheHeadAndAvoidsBadDisks(t *testing.T) {
	base := &protocol.View{Epoch: 1, Voters: members(1, 2, 3), NextNumber: 4}
	states := []MemberState{{Member: 1, InstalledEpoch: 7, Index: 10}, {Member: 2, InstalledEpoch: 7, Index: 12, DiskBad: true}, {Member: 3, InstalledEpoch: 6, Index: 10}}
	next, ok := Next(base, 9, states, 1, 1, Change{})
	require.True(t, ok)
	require.Equal(t, []uint64{1, 3}, next.GetChain(), "the bad disk stays outside though its state is newer")
	next, ok = Next(base, 9, states, 1, 0, Change{})
	require.True(t, ok)
	require.EqualValues(t, 1, Head(next))
}

func TestNextRefusesTooFewAndLostState(t *testing.T) {
	base := &protocol.View{Epoch: 1, Voters: members(1, 2, 3), NextNumber: 4}
	_, ok := Next(base, 9, []MemberState{{Member: 1, InstalledEpoch: 7}}, 1, 0, Change{})
	require.False(t, ok, "one member is too few for a chain")
	_, ok = Next(base, 9, []MemberState{{Member: 1, InstalledEpoch: 7}, {Member: 2, InstalledEpoch: 3}, {Member: 3}}, 1, 0, Change{Remove: []uint64{1}})
	require.False(t, ok, "the only member with the newest state is no voter any more")
}

func TestChangeOfVotersIsJoint(t *testing.T) {
	base := &protocol.View{Epoch: 1, Voters: members(1, 2, 3), NextNumber: 4}
	all := []MemberState{{Member: 1, InstalledEpoch: 7}, {Member: 2, InstalledEpoch: 7}, {Member: 9}}
	next, ok := Next(base, 9, all, 1, 1, Change{Add: []*protocol.Member{{Id: 9, Address: "a"}}, Remove: []uint64{3}})
	require.True(t, ok)
	require.Len(t, next.GetVoters(), 3)
	require.EqualValues(t, 4, Find(next.GetVoters(), 9).GetNumber(), "a newcomer gets a number of its own")
	require.EqualValues(t, 5, next.GetNextNumber())
	require.Len(t, next.GetPrevious(), 3)
	require.Len(t, Electorate(next), 4)
}

func TestValid(t *testing.T) {
	voters := []*protocol.Member{{Id: 1, Address: "a"}, {Id: 2, Address: "b"}}
	require.True(t, Valid(&protocol.View{Epoch: 1, Voters: voters, Chain: []uint64{2, 1}}))
	for name, v := range map[string]*protocol.View{
		"none":                 nil,
		"no epoch":             {Voters: voters, Chain: []uint64{1}},
		"no chain":             {Epoch: 1, Voters: voters},
		"a chain of others":    {Epoch: 1, Voters: voters, Chain: []uint64{3}},
		"one twice":            {Epoch: 1, Voters: voters, Chain: []uint64{1, 1}},
		"a voter twice":        {Epoch: 1, Voters: append(voters[:2:2], voters[0]), Chain: []uint64{1}},
		"a voter without name": {Epoch: 1, Voters: []*protocol.Member{{Address: "a"}}, Chain: []uint64{0}},
		"nowhere":              {Epoch: 1, Voters: []*protocol.Member{{Id: 1}}, Chain: []uint64{1}},
	} {
		require.False(t, Valid(v), name)
	}
}
