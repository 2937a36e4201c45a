package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
)

// BenchmarkGatherAndEncode measures the cost of a write with 2,000 runners: gathering runs on the
// actor's goroutine, encoding on the writer's.
func BenchmarkGatherAndEncode(b *testing.B) {
	r := New(Config{Name: "n0", Classes: func() []string { return []string{"cut"} }}, nil, nil, nil, nil, nil, nil)
	r.fullUpdates = rosterpolicy.NewFullUpdatePolicy(r.cfg.Policy, false)
	coreState := core.Snapshot{Health: map[string]decision.Health{}, MeanRunTimes: []time.Duration{time.Second}}
	var entries []string
	for i := range 2000 {
		uid := fmt.Sprintf("s-%08x", i*2654435761)
		entries = append(entries, fmt.Sprintf(`{"uid":%q,"endpoint":"10.1.%d.%d:8081","az":"a","model":"m2","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}`,
			uid, i/250, i%250))
		r.routes[uid] = core.Route{UID: uid}
		coreState.Health[uid] = decision.Health{Pace: 1, Most: 4}
	}
	list := []byte(`{"rev":1,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`)
	if !json.Valid(list) {
		b.Fatal("the list is not valid JSON")
	}
	b.Run("gather", func(b *testing.B) {
		for b.Loop() {
			if s := r.snapshot("d", list, coreState); len(s.Nodes) != 2000 {
				b.Fatal("got a snapshot without all 2,000 runners")
			}
		}
	})
	b.Run("encode", func(b *testing.B) {
		s := r.snapshot("d", list, coreState)
		size := 0
		for b.Loop() {
			text, err := rosterstore.Encode(s)
			if err != nil {
				b.Fatal(err)
			}
			size = len(text)
		}
		b.ReportMetric(float64(size)/1024, "KiB")
	})
}

// fakeCore records the full lists passed to it and ignores everything else.
type fakeCore struct {
	Core
	lists [][]core.Route
}

func (c *fakeCore) RoutesReplaced(routes []core.Route)    { c.lists = append(c.lists, routes) }
func (c *fakeCore) RoutesChanged([]core.Route)            {}
func (c *fakeCore) DiscoveryFailed()                      {}
func (c *fakeCore) Restore(core.Snapshot)                 {}
func (c *fakeCore) Snapshot(callback func(core.Snapshot)) { callback(core.Snapshot{}) }

// fakeTable is a table whose list holds one runner.
type fakeTable struct{ Table }

func (fakeTable) Snapshot(callback func(discovery string, list []byte)) {
	callback("d", []byte(`{"rev":1,"all":true,"targets":[{"uid":"s-1"}]}`))
}

// TestPlannedEndIsStoredAtItsBeginning guards against a planned shutdown being taken for an
// unplanned one when the process is killed before it writes its last state: the state written when
// the shutdown begins is already marked as planned.
func TestPlannedEndIsStoredAtItsBeginning(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	path := t.TempDir()
	dir, err := rosterstore.Open(path, "n0", 2)
	if err != nil {
		t.Fatal(err)
	}
	writer := rosterstore.NewWriter(dir, time.Hour, logrus.NewEntry(log))
	cfg := Config{Name: "n0", WriteInterval: time.Hour, Classes: func() []string { return nil }}
	r := New(cfg, &fakeCore{}, fakeTable{}, nil, writer, nil, logrus.NewEntry(log))
	r.RoutesReplaced([]core.Route{{UID: "s-1", Addr: "a", Member: decision.Member{State: decision.Ready}}})
	r.Start()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.Run(ctx)
	r.BeginShutdown()
	reader, err := rosterstore.Open(path, "n0", 2)
	if err != nil {
		t.Fatal(err)
	}
	for by := time.Now().Add(20 * time.Second); ; <-time.After(time.Millisecond) {
		s, err := reader.Load(func(string, error) {})
		if err == nil && s != nil && s.PlannedShutdown && len(s.Nodes) == 1 {
			break
		}
		if time.Now().After(by) {
			t.Fatalf("got stored state %+v, error %v; want the state of a planned shutdown with one runner", s, err)
		}
	}
	cancel()
	writer.Close(time.Now().Add(20 * time.Second))
}

// TestPlannedEndIsStoredSoonAfterAWrite guards against runners being taken for cold when a planned
// shutdown begins within the write interval after another write, and the process is killed before
// the shutdown ends.
func TestPlannedEndIsStoredSoonAfterAWrite(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	path := t.TempDir()
	dir, err := rosterstore.Open(path, "n0", 2)
	if err != nil {
		t.Fatal(err)
	}
	writer := rosterstore.NewWriter(dir, time.Hour, logrus.NewEntry(log))
	cfg := Config{Name: "n0", WriteInterval: time.Hour, Classes: func() []string { return nil }}
	r := New(cfg, &fakeCore{}, fakeTable{}, nil, writer, nil, logrus.NewEntry(log))
	r.RoutesReplaced([]core.Route{{UID: "s-1", Addr: "a", Member: decision.Member{State: decision.Ready}}})
	r.Start()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go r.Run(ctx)
	require.Eventually(t, func() bool { return writer.Written() == 1 }, 20*time.Second, time.Millisecond)
	r.BeginShutdown()
	reader, err := rosterstore.Open(path, "n0", 2)
	if err != nil {
		t.Fatal(err)
	}
	ended := func() bool {
		s, err := reader.Load(func(string, error) {})
		return err == nil && s != nil && s.PlannedShutdown && len(s.Nodes) == 1
	}
	require.Eventually(t, ended, 20*time.Second, time.Millisecond)
	cancel()
	writer.Close(time.Now().Add(20 * time.Second))
}

// TestStartReplacesRoutes checks that the core of a process that starts from a stored list has the
// list when Start returns: before the first job arrives, and whenever the actor is scheduled.
func TestStartReplacesRoutes(t *testing.T) {
	var fake fakeCore
	log := logrus.New()
	log.SetOutput(io.Discard)
	parse := func([]byte) (core.Route, error) {
		return core.Route{UID: "s-1", Addr: "a", Member: decision.Member{State: decision.Ready}}, nil
	}
	r := New(Config{Policy: rosterpolicy.Config{Fresh: time.Hour, Old: time.Hour, Max: time.Hour}}, &fake, nil, nil, nil, parse, logrus.NewEntry(log))
	now := r.clock()
	r.LoadStored(&rosterstore.Snapshot{Saved: now, Answered: now, Nodes: []rosterstore.Node{{UID: "s-1", Entry: json.RawMessage(`{}`), Confirmed: now, By: rosterstore.ByDiscovery}}}, 1)
	r.RoutesReplaced([]core.Route{{UID: "s-2", Addr: "b", Member: decision.Member{State: decision.Ready}}}) // the platform's list
	r.Start()
	if len(fake.lists) != 1 || len(fake.lists[0]) != 2 {
		t.Errorf("got full lists %v before the actor runs, want one with two runners", fake.lists)
	}
}

// TestConfirmedUntilDiscoveryFails checks that a runner counts as confirmed until discovery fails,
// here an hour after discovery listed it: until then the watch showed that nothing had changed.
//
// Before the fix, a dispatcher that was restarted as planned during an outage of discovery took
// warm runners for cold and refused jobs: the state stored once discovery was down said that the
// runners were last confirmed when they were listed. In 42 of 64 runs of TestPlannedRestart on a
// busy machine that was longer ago than the 5 s within which runners are assumed to be unchanged. A
// trial build logged the refused jobs as "not_sent", reason "no_token", and four of five runners as
// started with the process.
func TestConfirmedUntilDiscoveryFails(t *testing.T) {
	r := New(Config{Name: "n0", Classes: func() []string { return nil }}, &fakeCore{}, nil, nil, nil, nil, logrus.NewEntry(logrus.New()))
	r.started = true
	listedAt := r.clock()
	failedAt, storedAt := listedAt+time.Hour, listedAt+2*time.Hour
	at := func(now time.Duration, event func()) {
		event()
		r.now = now
		for _, message := range r.box.Drain(nil) {
			message(r)
		}
	}
	at(listedAt, func() {
		r.RoutesReplaced([]core.Route{{UID: "s-1", Addr: "a", Member: decision.Member{State: decision.Ready}}})
	})
	at(failedAt, r.DiscoveryFailed)
	at(failedAt+time.Minute, r.DiscoveryFailed)
	at(storedAt, func() {})
	s := r.snapshot("d", []byte(`{"rev":1,"all":true,"targets":[{"uid":"s-1"}]}`), core.Snapshot{})
	if len(s.Nodes) != 1 || s.Nodes[0].Confirmed != failedAt || s.Answered != failedAt {
		t.Errorf("got stored nodes %+v, answered at %v; want both confirmed and answered at %v, the first failure of discovery", s.Nodes, s.Answered, failedAt)
	}
}

// TestDiscoveryFailureConfirmsNothingStored checks that the runners of a stored list keep their
// confirmation times if discovery does not respond after the start.
func TestDiscoveryFailureConfirmsNothingStored(t *testing.T) {
	parse := func([]byte) (core.Route, error) {
		return core.Route{UID: "s-1", Addr: "a", Member: decision.Member{State: decision.Ready}}, nil
	}
	r := New(Config{Name: "n0", Classes: func() []string { return nil }}, &fakeCore{}, nil, nil, nil, parse, logrus.NewEntry(logrus.New()))
	confirmedAt := r.clock() - time.Hour
	r.LoadStored(&rosterstore.Snapshot{Saved: confirmedAt, Answered: confirmedAt,
		Nodes: []rosterstore.Node{{UID: "s-1", Entry: []byte("{}"), Confirmed: confirmedAt, By: rosterstore.ByDiscovery}}}, 1)
	r.DiscoveryFailed()
	for _, message := range r.box.Drain(nil) {
		message(r)
	}
	s := r.snapshot("d", []byte(`{"rev":0,"targets":[]}`), core.Snapshot{})
	if len(s.Nodes) != 1 || s.Nodes[0].Confirmed != confirmedAt || s.Answered != confirmedAt {
		t.Errorf("got stored nodes %+v, answered at %v; want both at %v", s.Nodes, s.Answered, confirmedAt)
	}
}

// versionTable is a table whose list has a version of the discovery "d".
type versionTable struct {
	Table
	version uint64
}

func (v *versionTable) Position() (discovery string, version uint64) { return "d", v.version }

// TestOlderListAfterStart guards against a runner being removed, after a start from the stored
// list, by a discovery that is behind that list: an older full list that lacked less than half of
// the runners was accepted at once.
func TestOlderListAfterStart(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	route := func(uid string) core.Route {
		return core.Route{UID: uid, Addr: uid, Member: decision.Member{State: decision.Ready}}
	}
	parse := func(entry []byte) (core.Route, error) { return route(strings.Trim(string(entry), `"`)), nil }
	for _, tc := range []struct {
		name      string
		discovery string // source of the stored list
		version   uint64 // of discovery's full list
		after     time.Duration
		want      int // number of runners in the end
	}{
		{"older", "d", 41, time.Second, 3},
		{"older, and still so when discovery had time to catch up", "d", 41, rosterpolicy.OlderListTimeout, 2},
		{"as old", "d", 42, 0, 2},
		{"older, of another discovery", "other", 41, 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := &versionTable{version: tc.version}
			cfg := Config{Policy: rosterpolicy.Config{Fresh: time.Hour, Old: time.Hour, Max: time.Hour, MaxMissing: 0.5, DoubtTimeout: time.Hour}}
			r := New(cfg, &fakeCore{}, table, nil, nil, parse, logrus.NewEntry(log))
			startedAt := r.clock()
			stored := &rosterstore.Snapshot{Saved: startedAt, Answered: startedAt, Discovery: tc.discovery, Rev: 42}
			for _, uid := range []string{"s-1", "s-2", "s-3"} {
				stored.Nodes = append(stored.Nodes, rosterstore.Node{UID: uid, Entry: json.RawMessage(`"` + uid + `"`), Confirmed: startedAt, By: rosterstore.ByDiscovery})
			}
			r.LoadStored(stored, 1)
			r.Start()
			for _, at := range []time.Duration{0, tc.after} {
				r.now = startedAt + at
				r.RoutesReplaced([]core.Route{route("s-1"), route("s-2")})
				for _, message := range r.box.Drain(nil) {
					message(r)
				}
			}
			require.Len(t, r.routes, tc.want)
		})
	}
}

// TestPlannedEndWithEmptyList guards against runners being taken for cold when discovery sends an
// empty list just before a planned shutdown.
func TestPlannedEndWithEmptyList(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	path := t.TempDir()
	dir, err := rosterstore.Open(path, "n0", 2)
	if err != nil {
		t.Fatal(err)
	}
	writer := rosterstore.NewWriter(dir, 0, logrus.NewEntry(log))
	r := New(Config{Name: "n0", Classes: func() []string { return nil }}, &fakeCore{}, nil, nil, writer, nil, logrus.NewEntry(log))
	r.started = true
	listedAt := r.clock()
	emptyAt, endedAt := listedAt+time.Hour, listedAt+time.Hour+time.Second
	listed, empty := []byte(`{"rev":42,"all":true,"targets":[{"uid":"s-1"}]}`), []byte(`{"rev":43,"all":true,"targets":[]}`)
	at := func(now time.Duration, list []byte, event func()) {
		r.now = now
		event()
		for _, message := range r.box.Drain(nil) {
			message(r)
		}
		r.write("d", list, core.Snapshot{})
	}
	at(listedAt, listed, func() {
		r.RoutesReplaced([]core.Route{{UID: "s-1", Addr: "a", Member: decision.Member{State: decision.Ready}}})
	})
	at(emptyAt, empty, func() { r.RoutesReplaced(nil) })
	r.shuttingDown = true
	at(endedAt, empty, func() {})
	writer.Close(time.Now().Add(20 * time.Second))
	reader, err := rosterstore.Open(path, "n0", 2)
	if err != nil {
		t.Fatal(err)
	}
	s, err := reader.Load(func(string, error) {})
	if err != nil || s == nil || !s.PlannedShutdown || s.Saved != endedAt || len(s.Nodes) != 1 || s.Nodes[0].Confirmed != emptyAt {
		t.Errorf("got stored state %+v, error %v; want a planned shutdown at %v with a runner confirmed until %v", s, err, endedAt, emptyAt)
	}
}
