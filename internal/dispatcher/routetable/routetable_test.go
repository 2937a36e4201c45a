package routetable

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/decision/freshness"
	"frosttide/internal/dispatcher/core"
)

// sink counts what the table passes to it.
type sink struct{ replaced, changed, failed int }

func (s *sink) RoutesReplaced([]core.Route) { s.replaced++ }
func (s *sink) RoutesChanged([]core.Route)  { s.changed++ }
func (s *sink) DiscoveryFailed()            { s.failed++ }

// quiet returns a log that writes nothing.
func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(log)
}

// TestRetryInterval has the interval between calls to an agent grow to an eighth of the drain grace and no further: an
// agent that is down for a moment is called in time for drains, and one that is down for long not without a pause.
func TestRetryInterval(t *testing.T) {
	for _, tc := range []struct {
		name                  string
		grace, first, longest time.Duration
	}{
		{"400 ms", 400 * time.Millisecond, minRetryInterval, 50 * time.Millisecond},
		{"500 ms", 500 * time.Millisecond, minRetryInterval, 62500 * time.Microsecond},
		{"none", 0, minRetryInterval, minRetryInterval},
		{"an hour", time.Hour, minRetryInterval, maxRetryInterval},
		{"no end", math.MaxInt64, minRetryInterval, maxRetryInterval},
	} {
		t.Run(tc.name, func(t *testing.T) {
			table := New(Config{Addr: "127.0.0.1:1", Pushed: true, DrainGrace: tc.grace}, quiet())
			var intervals []time.Duration
			for table.consecutiveFailures = 0; table.consecutiveFailures < 40; table.consecutiveFailures++ {
				intervals = append(intervals, table.retryInterval())
			}
			if diff := cmp.Diff([]time.Duration{tc.first, tc.longest}, []time.Duration{intervals[0], intervals[39]}); diff != "" {
				t.Errorf("first and longest interval (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRetriesAfterFailedCall has the table call again by itself after a failed call, before what that has missed counts
// as notified, however many dispatchers there are.
func TestRetriesAfterFailedCall(t *testing.T) {
	calls := make(chan time.Time, 16)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- time.Now()
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer discovery.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	table := New(Config{Addr: strings.TrimPrefix(discovery.URL, "http://"), Number: 299, Count: 300,
		MaxRefreshInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond}, quiet())
	table.Load(nil, &sink{})
	go table.Run(ctx)
	table.Watch()
	first := <-calls
	select {
	case at := <-calls:
		if wait := at.Sub(first); wait > freshness.NotifiedWithin+500*time.Millisecond {
			t.Errorf("called again %v after a failed call", wait)
		}
	case <-time.After(2 * freshness.NotifiedWithin):
		t.Error("not called again")
	}
}

// FuzzUpdate has any text of discovery's applied completely or not at all.
func FuzzUpdate(f *testing.F) {
	f.Add([]byte(`{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]}`))
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s-1","state":"DELETED"}]}`))
	f.Add([]byte(`{"rev":-1,"all":true}`))
	f.Add([]byte(`{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"x","state":"SERVING"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, s := New(Config{Addr: "127.0.0.1:1"}, quiet()), &sink{}
		table.sink = s
		taken := table.applyJSON(text)
		if updates := s.replaced + s.changed; taken != (updates == 1) || updates > 1 {
			t.Errorf("read: %v, passed on %d times", taken, updates)
		}
		if !taken && (len(table.entries) > 0 || table.version != 0) {
			t.Error("what could not be read left something behind")
		}
	})
}

// TestGossipedEntries has a drain that another member's discovery has sent take effect until this dispatcher's has reached
// its version, an older entry have none, and versions that count anew end all gossiped entries.
func TestGossipedEntries(t *testing.T) {
	entry := func(state string) string {
		return `{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"` + state + `"}`
	}
	update := func(rev int, all bool, state string) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, entry(state))
	}
	var updates []Update
	sink := &states{}
	table := New(Config{Addr: "127.0.0.1:1", OnUpdate: func(x Update) { updates = append(updates, x) }}, quiet())
	table.Load(update(40, true, "SERVING"), sink)
	for _, step := range []struct {
		name string
		do   func()
		want decision.MemberState
	}{
		{"gossip of an older version", func() { table.applyGossip(39, [][]byte{[]byte(entry("DRAINING"))}) }, decision.Ready},
		{"gossip of a newer version", func() { table.applyGossip(43, [][]byte{[]byte(entry("DRAINING"))}) }, decision.Draining},
		{"changes before that version", func() { table.applyJSON(update(42, false, "SERVING")) }, decision.Draining},
		{"full list before that version", func() { table.applyJSON(update(42, true, "SERVING")) }, decision.Draining},
		{"gossip of the version held", func() { table.applyGossip(42, [][]byte{[]byte(entry("SERVING"))}) }, decision.Draining},
		{"changes past that version", func() { table.applyJSON(update(44, false, "SERVING")) }, decision.Ready},
		{"gossip of a removal", func() { table.applyGossip(50, [][]byte{[]byte(entry("DELETED")), []byte("{")}) }, decision.Removed},
		{"versions that count anew", func() { table.applyJSON(update(3, true, "SERVING")) }, decision.Ready},
		{"changes after that", func() { table.applyJSON(update(4, false, "SERVING")) }, decision.Ready},
	} {
		if step.do(); sink.last != step.want {
			t.Errorf("%s leaves the runner in state %d, want %d", step.name, sink.last, step.want)
		}
	}
	table.ApplyGossip("elsewhere", 60, [][]byte{[]byte(entry("DRAINING"))})
	table.ApplyGossip("127.0.0.1:1", 60, [][]byte{[]byte(entry("DELETED"))})
	work := func() {
		for _, message := range table.box.Drain(nil) {
			message(table)
		}
	}
	if work(); sink.last != decision.Removed {
		t.Errorf("an entry of this discovery has no effect: state %d", sink.last)
	}
	table.SetAddress("127.0.0.1:2")
	work()
	if table.applyJSON(update(1, true, "SERVING")); sink.last != decision.Ready {
		t.Errorf("after a move an entry of the old discovery has effect: state %d", sink.last)
	}
	if len(table.gossiped) > 0 {
		t.Errorf("still held: %v", table.gossiped)
	}
	resets := 0
	for _, x := range updates {
		if x.VersionReset {
			resets++
		}
		if len(x.Entries) != 1 || x.Entries[0].State != decision.Ready {
			t.Errorf("passed on %+v, want what discovery sent and nothing gossiped", x)
		}
	}
	if resets != 1 || len(updates) != 7 {
		t.Errorf("passed on %d times, %d of them with a version reset", len(updates), resets)
	}
}

// states records the state of the last route that the table passes to it.
type states struct{ last decision.MemberState }

func (s *states) RoutesReplaced(r []core.Route) { s.RoutesChanged(r) }
func (s *states) RoutesChanged(r []core.Route) {
	for i := range r {
		s.last = r[i].State
	}
}
func (s *states) DiscoveryFailed() {}
