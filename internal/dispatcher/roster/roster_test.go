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

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
)

// BenchmarkGatherAndEncode measures the cost of a write at 2,000 runners: gathering, which is done by the actor, and
// encoding, which is done by the writer's goroutine.
func BenchmarkGatherAndEncode(b *testing.B) {
	r := New(Config{Name: "n0", Classes: func() []string { return []string{"cut"} }}, nil, nil, nil, nil, nil, nil)
	r.fullUpdates = rosterpolicy.NewFullUpdatePolicy(r.cfg.Policy, false)
	known := core.Snapshot{Health: map[string]decision.Health{}, MeanRunTimes: []time.Duration{time.Second}}
	var entries []string
	for i := range 2000 {
		uid := fmt.Sprintf("s-%08x", i*2654435761)
		entries = append(entries, fmt.Sprintf(`{"uid":%q,"endpoint":"10.1.%d.%d:8081","az":"a","model":"m2","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}`,
			uid, i/250, i%250))
		r.routes[uid] = core.Route{UID: uid}
		known.Health[uid] = decision.Health{Pace: 1, Most: 4}
	}
	list := []byte(`{"rev":1,"all":true,"targets":[` + strings.Join(entries, ",") + `]}`)
	if !json.Valid(list) {
		b.Fatal("the list is no JSON")
	}
	b.Run("gather", func(b *testing.B) {
		for b.Loop() {
			if s := r.snapshot("d", list, known); len(s.Nodes) != 2000 {
				b.Fatal("runners are missing")
			}
		}
	})
	b.Run("encode", func(b *testing.B) {
		s := r.snapshot("d", list, known)
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

// fakeCore records the full lists that it is passed. It has no other method of Core.
type fakeCore struct {
	Core
	lists [][]core.Route
}

func (c *fakeCore) RoutesReplaced(routes []core.Route) { c.lists = append(c.lists, routes) }
func (c *fakeCore) Restore(core.Snapshot)              {}
func (c *fakeCore) Snapshot(to func(core.Snapshot))    { to(core.Snapshot{}) }

// fakeTable is a table that holds one runner.
type fakeTable struct{ Table }

func (fakeTable) Snapshot(to func(discovery string, list []byte)) {
	to("d", []byte(`{"rev":1,"all":true,"targets":[{"uid":"s-1"}]}`))
}

// TestPlannedEndIsStoredAtItsBeginning has a process be killed before the last state of its planned end is written: what
// was written when that began says that it is one.
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
		if err == nil && s != nil && s.Ended && len(s.Nodes) == 1 {
			break
		}
		if time.Now().After(by) {
			t.Fatalf("stored is %+v, %v", s, err)
		}
	}
	cancel()
	writer.Close(time.Now().Add(20 * time.Second))
}

// TestStartReplacesRoutes has the core of a process that starts from a stored list hold the list when Start returns,
// before the first job comes and whenever the actor is scheduled.
func TestStartReplacesRoutes(t *testing.T) {
	var recorder fakeCore
	log := logrus.New()
	log.SetOutput(io.Discard)
	parse := func([]byte) (core.Route, error) {
		return core.Route{UID: "s-1", Addr: "a", Member: decision.Member{State: decision.Ready}}, nil
	}
	r := New(Config{Policy: rosterpolicy.Config{Fresh: time.Hour, Old: time.Hour, Max: time.Hour}}, &recorder, nil, nil, nil, parse, logrus.NewEntry(log))
	now := r.clock()
	r.LoadStored(&rosterstore.Snapshot{Saved: now, Answered: now, Nodes: []rosterstore.Node{{UID: "s-1", Entry: json.RawMessage(`{}`), Confirmed: now, By: rosterstore.ByDiscovery}}}, 1)
	r.RoutesReplaced([]core.Route{{UID: "s-2", Addr: "b", Member: decision.Member{State: decision.Ready}}}) // the platform's
	r.Start()
	if len(recorder.lists) != 1 || len(recorder.lists[0]) != 2 {
		t.Errorf("before the actor runs the core has been passed %v", recorder.lists)
	}
}
