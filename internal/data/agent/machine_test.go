package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/protocol"
)

const head = "head"

// rig is a companion with the head played by the test.
type rig struct {
	t        *testing.T
	m        *Machine
	now      time.Duration
	sequence uint64
	orders   uint64
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, m: New(Config{Incarnation: 100, HoldMax: 6 * time.Second, Contacts: []string{"seed"}}, 0), now: time.Second}
	r.m.View(r.now, 5, head)
	return r
}

func (r *rig) beat(id string, running []*protocol.RunProgress, finished ...*protocol.RunEnd) Answer {
	r.sequence++
	r.now += 10 * time.Millisecond
	return r.m.Beat(r.now, &Beat{Account: &protocol.RunnerAccount{Id: id}, Sequence: r.sequence, Running: running, Finished: finished})
}

// report has time pass until the next report and returns it.
func (r *rig) report() *protocol.RunnerReport {
	r.t.Helper()
	for range 100 {
		r.now += 20 * time.Millisecond
		r.m.Tick(r.now)
		for _, s := range r.m.TakeSends() {
			if s.Message.GetRunnerReport() != nil {
				return s.Message.GetRunnerReport()
			}
		}
	}
	r.t.Fatal("no report")
	return nil
}

// order answers a report with a lease, as the whole set where told.
func (r *rig) order(report *protocol.RunnerReport, full bool, runs []*protocol.RunOrder, drop ...*protocol.RunRef) {
	r.orders++
	r.m.Orders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Sequence: r.orders, Session: 1, Runner: report.GetAccount().GetId(), Companion: report.GetIncarnation(),
		Full: full, Runs: runs, Drop: drop, LeaseRound: report.GetLeaseRound(), LeaseMs: 12000})
}

// ready returns a rig whose runner i1 has a lease and an empty set.
func ready(t *testing.T) *rig {
	r := newRig(t)
	require.Zero(t, r.beat("i1", nil).Hold, "without a lease nothing is held")
	r.order(r.report(), true, nil)
	return r
}

func run(task string, number uint32) *protocol.RunOrder {
	return &protocol.RunOrder{Task: task, Run: number, Spec: "s"}
}

func listed(task string, number uint32) []*protocol.RunProgress {
	return []*protocol.RunProgress{{Task: task, Run: number}}
}

func TestStartsUntilListed(t *testing.T) {
	r := ready(t)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 1)})
	for range 3 {
		a := r.beat("i1", nil)
		require.Len(t, a.Start, 1, "an answer may be lost")
		require.EqualValues(t, 5, a.Fence)
		require.Positive(t, a.Hold)
	}
	require.Empty(t, r.beat("i1", listed("t", 1)).Start)
	require.Empty(t, r.beat("i1", nil, &protocol.RunEnd{Number: 1, Task: "t", Run: 1, How: "done"}).Start, "it has ended")
	report := r.report()
	require.Len(t, report.GetEnds(), 1)
	require.Zero(t, r.beat("i1", nil, report.GetEnds()...).LastSeen, "the head has not noted it")
	r.m.Orders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: r.orders, Runner: "i1", Companion: report.GetIncarnation(), LastSeen: 1})
	require.EqualValues(t, 1, r.beat("i1", nil).LastSeen)
	require.Empty(t, r.report().GetEnds())
}

func TestStopsWhatIsNotWanted(t *testing.T) {
	r := ready(t)
	require.Len(t, r.beat("i1", listed("old", 3)).Stop, 1)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 1)})
	r.order(r.report(), false, nil, &protocol.RunRef{Task: "t", Run: 1})
	a := r.beat("i1", nil)
	require.Empty(t, a.Start)
	require.Equal(t, "t", a.Stop[0].GetTask(), "its start may be under way")
}

// TestHoldsWithinTheLease has holds end within the lease, which counts from the sending of its request.
func TestHoldsWithinTheLease(t *testing.T) {
	r := newRig(t)
	r.beat("i1", nil)
	report := r.report()
	asked := r.now
	r.now += 3 * time.Second // the answer is slow
	r.order(report, true, nil)
	for r.now < asked+12*time.Second {
		a := r.beat("i1", nil)
		require.LessOrEqual(t, r.now+a.Hold, asked+12*time.Second)
		r.now += 200 * time.Millisecond
	}
	require.Zero(t, r.beat("i1", nil).Hold)
	require.Empty(t, r.beat("i1", nil).Start)
}

func TestNewProcessHoldsNothing(t *testing.T) {
	r := newRig(t)
	require.Zero(t, r.beat("i1", listed("t", 1)).Hold)
	require.Empty(t, r.beat("i1", listed("t", 1)).Stop, "it does not know yet what is wanted")
}

func TestRunnerThatComesBack(t *testing.T) {
	r := ready(t)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 1)})
	r.beat("i1", listed("t", 1))
	r.sequence = 0
	require.Empty(t, r.beat("i2", nil).Start, "the new one has no orders")
	require.Contains(t, r.report().GetGone(), "i1")
	late := r.m.Beat(r.now, &Beat{Account: &protocol.RunnerAccount{Id: "i1"}, Sequence: 99})
	require.Zero(t, late.Hold, "a late beat of the old one")
	require.Equal(t, "i2", r.report().GetAccount().GetId())
}

// TestSilentRunnerIsGivenUp has a runner count as gone only once its longest hold has surely run out, and
// orders from before that be void.
func TestSilentRunnerIsGivenUp(t *testing.T) {
	r := ready(t)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 1)})
	hold := r.beat("i1", listed("t", 1)).Hold
	last := r.now
	for r.now < last+hold {
		require.Empty(t, r.report().GetGone())
	}
	report := r.report()
	before := report.GetIncarnation()
	for len(report.GetGone()) == 0 {
		report = r.report()
	}
	require.Greater(t, r.now, last+hold+time.Duration(0.02*float64(hold)), "a runner's clock may be slow")
	require.NotEqual(t, before, report.GetIncarnation())
	r.beat("i1", nil) // it was only silent
	r.m.Orders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: 9, Runner: "i1", Companion: before, Full: true, Runs: []*protocol.RunOrder{run("t", 1)}})
	require.Empty(t, r.beat("i1", nil).Start, "the head did not know yet")
}

func TestLookedAtAndFoundGone(t *testing.T) {
	r := ready(t)
	r.beat("i1", nil)
	_, doubtful := r.m.Doubtful(r.now + 100*time.Millisecond)
	require.False(t, doubtful)
	r.now += time.Second
	id, doubtful := r.m.Doubtful(r.now)
	require.True(t, doubtful)
	r.m.Probed(r.now, id, true)
	require.Empty(t, r.report().GetGone(), "one look is not enough")
	r.m.Probed(r.now, id, false)
	r.m.Probed(r.now, id, true)
	require.Empty(t, r.report().GetGone(), "somebody listened in between")
	r.m.Probed(r.now, id, true)
	require.Contains(t, r.report().GetGone(), "i1")
}

func TestBusyRunnerMayBeSilentForLonger(t *testing.T) {
	r := ready(t)
	var many []*protocol.RunProgress
	for i := range 40 {
		many = append(many, &protocol.RunProgress{Task: string(rune('a' + i)), Run: 1})
	}
	r.beat("i1", many)
	_, doubtful := r.m.Doubtful(r.now + 600*time.Millisecond)
	require.False(t, doubtful)
	_, doubtful = r.m.Doubtful(r.now + time.Second)
	require.True(t, doubtful)
}

func TestStartWithoutEffect(t *testing.T) {
	r := ready(t)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 2)})
	barred := false
	for range 200 {
		a := r.beat("i1", nil)
		barred = barred || len(a.Stop) > 0
		if len(a.Start) == 0 && len(a.Stop) == 0 {
			break
		}
		r.now += 40 * time.Millisecond
	}
	require.True(t, barred, "it must never begin after all")
	report := r.report()
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	r.order(report, false, nil, &protocol.RunRef{Task: "t", Run: 2})
	require.Empty(t, r.report().GetRefused())
}

func TestOrdersOfOthersAreVoid(t *testing.T) {
	r := ready(t)
	report := r.report()
	apply := func(change func(*protocol.RunnerOrders)) {
		o := &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: r.orders + 1, Runner: "i1", Companion: report.GetIncarnation(), Runs: []*protocol.RunOrder{run("t", 1)}}
		change(o)
		r.m.Orders(r.now, head, o)
		require.Empty(t, r.beat("i1", nil).Start)
	}
	apply(func(o *protocol.RunnerOrders) { o.Epoch = 4 })
	apply(func(o *protocol.RunnerOrders) { o.Companion++ })
	apply(func(o *protocol.RunnerOrders) { o.Runner = "i0" })
	apply(func(o *protocol.RunnerOrders) { o.Session = 0 })
	apply(func(o *protocol.RunnerOrders) { o.Sequence++ })
	require.EqualValues(t, r.orders, r.report().GetOrdersSeen(), "what is missing is told")
	// Orders that only renew the lease bear the newest sequence and don't count for those that were lost.
	r.m.Orders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Session: 1, Sequence: r.orders + 1, Runner: "i1", Companion: report.GetIncarnation()})
	require.EqualValues(t, r.orders, r.report().GetOrdersSeen())
}

func TestDrainingRunnerStartsNothing(t *testing.T) {
	r := ready(t)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 1)})
	r.sequence++
	a := r.m.Beat(r.now, &Beat{Account: &protocol.RunnerAccount{Id: "i1", Draining: true}, Sequence: r.sequence})
	require.Empty(t, a.Start)
	require.True(t, r.report().GetAccount().GetDraining())
	r.m.Leave(r.now, "i1")
	require.True(t, r.report().GetSilent())
	r.now += time.Second
	require.Empty(t, r.report().GetGone(), "it may run on")
	r.m.Probed(r.now, "i1", true)
	r.m.Probed(r.now, "i1", true)
	require.Contains(t, r.report().GetGone(), "i1", "nobody listens there any more")
}

// TestLeaveIsNoEnd has a runner take its leave first and run on, with beats that come seconds late: what it runs
// must not start elsewhere. It used to count as ended 400 ms after its leave.
func TestLeaveIsNoEnd(t *testing.T) {
	r := ready(t)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 1), run("u", 1)})
	r.beat("i1", listed("t", 1))
	r.m.Leave(r.now, "i1")
	for range 4 {
		for range 8 { // 1.6 s and more without a beat
			report := r.report()
			require.Empty(t, report.GetGone())
			require.True(t, report.GetSilent(), "it gets no more tasks")
			r.order(report, false, nil)
		}
		require.Empty(t, r.beat("i1", listed("t", 1)).Start, "it is about to end")
	}
	id, doubtful := r.m.Doubtful(r.now + time.Second)
	require.True(t, doubtful, "it is looked at until it has ended")
	r.m.Probed(r.now+time.Second, id, true)
	r.m.Probed(r.now+time.Second, id, true)
	require.Contains(t, r.report().GetGone(), "i1")
}

// TestRunnerThatLeftAndCannotBeLookedAt counts as ended once its longest hold has surely run out.
func TestRunnerThatLeftAndCannotBeLookedAt(t *testing.T) {
	r := ready(t)
	hold := r.beat("i1", listed("t", 1)).Hold
	last := r.now
	r.m.Leave(r.now, "i1")
	for r.now < last+hold {
		require.Empty(t, r.report().GetGone())
	}
	r.now += time.Second
	require.Contains(t, r.report().GetGone(), "i1")
}

func TestLooksForTheHead(t *testing.T) {
	m := New(Config{Contacts: []string{"a", "b"}}, 0)
	asked := make(map[string]bool)
	for now := time.Duration(0); now < time.Second; now += 50 * time.Millisecond {
		m.Tick(now)
		for _, s := range m.TakeSends() {
			require.NotNil(t, s.Message.GetViewQuery())
			asked[s.To] = true
		}
	}
	require.Len(t, asked, 2)
}

// TestRunDroppedBeforeItBegan has the companion bar a run that was dropped before the runner has listed it, and
// then tell the head that it never begins: the head keeps its room until then.
func TestRunDroppedBeforeItBegan(t *testing.T) {
	r := ready(t)
	r.order(r.report(), false, []*protocol.RunOrder{run("t", 1)})
	r.order(r.report(), false, nil, &protocol.RunRef{Task: "t", Run: 1})
	for range barBeats + 1 {
		a := r.beat("i1", nil)
		require.Len(t, a.Stop, 1)
		require.Empty(t, a.Start)
	}
	require.Empty(t, r.beat("i1", nil).Stop, "it is barred for good")
	report := r.report()
	require.Len(t, report.GetRefused(), 1)
	r.order(report, false, nil, &protocol.RunRef{Task: "t", Run: 1})
	require.Empty(t, r.report().GetRefused(), "the head knows")
}

// TestRunOfTheWholeSetThatNobodyKnows has a companion that never heard of a run, whose end the head waits for,
// bar it and say so.
func TestRunOfTheWholeSetThatNobodyKnows(t *testing.T) {
	r := newRig(t)
	r.beat("i1", nil)
	r.order(r.report(), true, nil, &protocol.RunRef{Task: "t", Run: 2}, &protocol.RunRef{Task: "u", Run: 1})
	require.Len(t, r.beat("i1", listed("u", 1)).Stop, 2)
	for range barBeats + 2 {
		r.beat("i1", nil, &protocol.RunEnd{Number: 1, Task: "u", Run: 1, How: "stopped"})
	}
	report := r.report()
	require.Len(t, report.GetRefused(), 1)
	require.Equal(t, "t", report.GetRefused()[0].GetTask())
	require.Len(t, report.GetEnds(), 1)
}

// TestOrdersThatComeAgain has an older whole set come once more after a newer one.
func TestOrdersThatComeAgain(t *testing.T) {
	r := ready(t)
	report := r.report()
	r.order(report, true, []*protocol.RunOrder{run("old", 1)})
	first := r.orders
	r.order(report, true, []*protocol.RunOrder{run("new", 1)})
	r.m.Orders(r.now, head, &protocol.RunnerOrders{Epoch: 5, Sequence: first, Session: 1, Runner: "i1", Companion: report.GetIncarnation(), Full: true,
		Runs: []*protocol.RunOrder{run("old", 1)}})
	a := r.beat("i1", listed("new", 1))
	require.Empty(t, a.Start)
	for _, stop := range a.Stop {
		require.NotEqual(t, "new", stop.GetTask(), "it is wanted")
	}
}
