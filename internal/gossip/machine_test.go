package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
	"frosttide/internal/routeconfig"
)

const (
	networkStep     = 5 * time.Millisecond
	messagesPerLoss = 30 // one message in this many is lost
	mixingTime      = 5 * time.Second
	spreadTime      = 2 * time.Second
	networkNodes    = 60
)

// delivery is a message in flight with its sender's address.
type delivery struct {
	from string
	send protocol.Outbound
}

// network delivers the messages of many machines on a simulated clock, and drops some at random.
type network struct {
	rng       *rand.Rand
	now       time.Duration
	machines  []*Machine
	byAddress map[string]*Machine
	inFlight  []delivery
}

// newNetwork returns a network of machines that initially know only three contacts.
func newNetwork(seed uint64) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 1)), byAddress: make(map[string]*Machine)}
	for i := range networkNodes {
		address := fmt.Sprintf("p%d", i)
		m := New(Config{Address: address, Contacts: []string{"p0", "p1", "p2"}, Seed: n.rng.Uint64()})
		n.machines = append(n.machines, m)
		n.byAddress[address] = m
	}
	return n
}

// run advances the simulated clock by a duration, in steps of networkStep.
func (n *network) run(d time.Duration) {
	for until := n.now + d; n.now < until; n.now += networkStep {
		arrived := n.inFlight
		n.inFlight = nil
		for _, a := range arrived {
			if to := n.byAddress[a.send.To]; to != nil && n.rng.IntN(messagesPerLoss) > 0 {
				to.Receive(n.now, a.from, a.send.Message)
			}
		}
		for _, m := range n.machines {
			m.Tick(n.now)
			for _, s := range m.TakeSends() {
				n.inFlight = append(n.inFlight, delivery{from: m.cfg.Address, send: s})
			}
		}
	}
}

// requirePartialView checks the invariants of a partial view.
func requirePartialView(t *testing.T, m *Machine) {
	t.Helper()
	require.NotEmpty(t, m.Neighbors(), "partial view of %s is empty", m.cfg.Address)
	require.LessOrEqual(t, len(m.Neighbors()), partialViewSize)
	addresses := map[string]bool{m.cfg.Address: true}
	for _, n := range m.Neighbors() {
		require.False(t, addresses[n.GetAddress()], "partial view of %s contains itself, or %s twice", m.cfg.Address, n.GetAddress())
		addresses[n.GetAddress()] = true
	}
}

// TestDisseminationDespiteLoss checks that configurations and views reach every process although
// one message in thirty is lost.
func TestDisseminationDespiteLoss(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			n := newNetwork(seed)
			n.run(mixingTime)
			for _, m := range n.machines {
				requirePartialView(t, m)
			}
			table := routeconfig.Empty()
			for v := range 5 {
				change, err := table.Apply(fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Services":[{"Name":"s%d"}]}}`, v+1, v%3), true)
				require.NoError(t, err)
				table = change.Table
				n.machines[n.rng.IntN(3)].SetConfig(n.now, table)
				n.run(spreadTime)
				for _, m := range n.machines {
					require.Equal(t, table.Version, m.Config().Version, "configuration version of %s", m.cfg.Address)
					require.Equal(t, table.Digest, m.Config().Digest, "configuration digest of %s", m.cfg.Address)
				}
			}
			view := &protocol.View{Epoch: 1, Voters: []*protocol.Member{{Id: 1, Address: "p0"}}, Chain: []uint64{1}}
			n.machines[0].SetView(n.now, view)
			n.run(spreadTime)
			for _, m := range n.machines {
				require.EqualValues(t, 1, m.View().GetEpoch(), "view epoch of %s", m.cfg.Address)
				requirePartialView(t, m)
			}
		})
	}
}

// table returns a configuration with the given version and one service.
func table(t *testing.T, version int) *routeconfig.Table {
	t.Helper()
	change, err := routeconfig.Empty().Apply(fmt.Appendf(nil, `{"Version":%d,"Services":[{"Name":"s%d"}]}`, version, version), false)
	require.NoError(t, err)
	return change.Table
}

// TestReceiveReplies checks the replies to gossip messages of a process that has version 5 of the
// configuration and a view of epoch 5.
func TestReceiveReplies(t *testing.T) {
	view := func(epoch uint64) *protocol.View {
		return &protocol.View{Epoch: epoch, Voters: []*protocol.Member{{Id: 1, Address: "p0"}}, Chain: []uint64{1}}
	}
	rumor := func(r *protocol.Rumor) *protocol.Envelope {
		return &protocol.Envelope{Body: &protocol.Envelope_Rumor{Rumor: r}}
	}
	pull := func(p *protocol.RumorPull) *protocol.Envelope {
		return &protocol.Envelope{Body: &protocol.Envelope_RumorPull{RumorPull: p}}
	}
	corruptFull := table(t, 6).DeltaSince(0)
	corruptFull.Digest++
	corruptDelta := table(t, 6).DeltaSince(5)
	corruptDelta.Digest++
	for _, c := range []struct {
		name    string
		message *protocol.Envelope
		want    func(t *testing.T, replies []protocol.Outbound)
	}{
		{"rumor of the same versions", rumor(&protocol.Rumor{ConfigVersion: 5, View: view(5)}), noReply},
		{"rumor of an older configuration", rumor(&protocol.Rumor{ConfigVersion: 4, View: view(5)}), rumorReply},
		{"rumor of an older view", rumor(&protocol.Rumor{ConfigVersion: 5, View: view(4)}), rumorReply},
		{"reply with older versions", rumor(&protocol.Rumor{ConfigVersion: 4, View: view(4), Reply: true}), noReply},
		{"rumor of a newer configuration", rumor(&protocol.Rumor{ConfigVersion: 6, View: view(5)}), pullReply(&protocol.RumorPull{HaveVersion: 5})},
		{"rumor of a view that is not valid", rumor(&protocol.Rumor{ConfigVersion: 5, View: &protocol.View{Epoch: 6}}), noReply},
		{"pull from an older version", pull(&protocol.RumorPull{HaveVersion: 4}), deltaReply(4)},
		{"pull of the full configuration", pull(&protocol.RumorPull{HaveVersion: 4, Whole: true}), deltaReply(0)},
		{"pull from the same version", pull(&protocol.RumorPull{HaveVersion: 5}), noReply},
		{"delta with a wrong digest", &protocol.Envelope{Body: &protocol.Envelope_ConfigDelta{ConfigDelta: corruptDelta}}, pullReply(&protocol.RumorPull{HaveVersion: 5, Whole: true})},
		{"full configuration with a wrong digest", &protocol.Envelope{Body: &protocol.Envelope_ConfigDelta{ConfigDelta: corruptFull}}, pullReply(&protocol.RumorPull{HaveVersion: 5})},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(Config{Address: "self", Contacts: []string{"other"}, Seed: 1})
			m.SetConfig(0, table(t, 5))
			m.SetView(0, view(5))
			m.TakeSends()
			m.Receive(0, "other", c.message)
			c.want(t, m.TakeSends())
			require.EqualValues(t, 5, m.Config().Version)
			require.EqualValues(t, 5, m.View().GetEpoch())
		})
	}
}

func noReply(t *testing.T, replies []protocol.Outbound) {
	t.Helper()
	require.Empty(t, replies)
}

// onlyReply checks that one message was sent, to the other process, and returns it.
func onlyReply(t *testing.T, replies []protocol.Outbound) *protocol.Envelope {
	t.Helper()
	require.Len(t, replies, 1)
	require.Equal(t, "other", replies[0].To)
	return replies[0].Message
}

func rumorReply(t *testing.T, replies []protocol.Outbound) {
	t.Helper()
	rumor := onlyReply(t, replies).GetRumor()
	require.True(t, rumor.GetReply())
	require.EqualValues(t, 5, rumor.GetConfigVersion())
	require.EqualValues(t, 5, rumor.GetView().GetEpoch())
}

func pullReply(want *protocol.RumorPull) func(t *testing.T, replies []protocol.Outbound) {
	return func(t *testing.T, replies []protocol.Outbound) {
		t.Helper()
		pull := onlyReply(t, replies).GetRumorPull()
		require.Equal(t, want.GetHaveVersion(), pull.GetHaveVersion())
		require.Equal(t, want.GetWhole(), pull.GetWhole())
	}
}

func deltaReply(from uint64) func(t *testing.T, replies []protocol.Outbound) {
	return func(t *testing.T, replies []protocol.Outbound) {
		t.Helper()
		delta := onlyReply(t, replies).GetConfigDelta()
		require.Equal(t, from, delta.GetFrom())
		require.EqualValues(t, 5, delta.GetVersion())
	}
}
