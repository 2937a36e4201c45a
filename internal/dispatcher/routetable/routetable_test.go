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

// countingSink counts the calls of its methods.
type countingSink struct{ replaced, changed, failed int }

func (s *countingSink) RoutesReplaced([]core.Route) { s.replaced++ }
func (s *countingSink) RoutesChanged([]core.Route)  { s.changed++ }
func (s *countingSink) DiscoveryFailed()            { s.failed++ }

// discardLogger returns a logger that writes nothing.
func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(log)
}

// TestRetryInterval checks that the interval between calls to an agent grows to an eighth of the
// drain grace and no further: an agent that is down for a moment is called again in time for
// drains, and one that is down for long is not called in a busy loop.
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
			table := New(Config{Addr: "127.0.0.1:1", Pushed: true, DrainGrace: tc.grace}, discardLogger())
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

// TestRetriesAfterFailedCall checks that the table calls again by itself after a failed call,
// before the changes that the call has missed count as notified, whatever the number of
// dispatchers.
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
		MaxRefreshInterval: 10 * time.Second, DrainGrace: 500 * time.Millisecond}, discardLogger())
	table.Load(nil, &countingSink{})
	go table.Run(ctx)
	table.Watch()
	first := <-calls
	select {
	case at := <-calls:
		if wait := at.Sub(first); wait > freshness.NotifiedWithin+500*time.Millisecond {
			t.Errorf("got a retry %v after the failed call, want it before missed changes count as notified", wait)
		}
	case <-time.After(2 * freshness.NotifiedWithin):
		t.Error("got no retry after the failed call")
	}
}

// FuzzUpdate checks that any text from discovery is applied completely or not at all.
func FuzzUpdate(f *testing.F) {
	f.Add([]byte(`{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]}`))
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s-1","state":"DELETED"}]}`))
	f.Add([]byte(`{"rev":-1,"all":true}`))
	f.Add([]byte(`{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"x","state":"SERVING"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, s := New(Config{Addr: "127.0.0.1:1"}, discardLogger()), &countingSink{}
		table.sink = s
		applied := table.applyJSON(text)
		if updates := s.replaced + s.changed; applied != (updates == 1) || updates > 1 {
			t.Errorf("applied: %v, but the sink was called %d times", applied, updates)
		}
		if !applied && (len(table.entries) > 0 || table.version != 0) {
			t.Error("an invalid update changed the entries or the version")
		}
	})
}

// TestGossipedEntries checks that a drain that another member received from its discovery is in
// force until this dispatcher's discovery reaches its version, that an older gossiped entry has no
// effect, and that a reset of the versions drops all gossiped entries.
func TestGossipedEntries(t *testing.T) {
	entry := func(state string) string {
		return `{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m","state":"` + state + `"}`
	}
	update := func(rev int, all bool, state string) []byte {
		return fmt.Appendf(nil, `{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, entry(state))
	}
	var updates []Update
	sink := &stateSink{}
	table := New(Config{Addr: "127.0.0.1:1", OnUpdate: func(x Update) { updates = append(updates, x) }}, discardLogger())
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
		{"reset of the versions", func() { table.applyJSON(update(3, true, "SERVING")) }, decision.Ready},
		{"changes after that", func() { table.applyJSON(update(4, false, "SERVING")) }, decision.Ready},
	} {
		if step.do(); sink.last != step.want {
			t.Errorf("%s: got state %d of the runner, want %d", step.name, sink.last, step.want)
		}
	}
	table.ApplyGossip("elsewhere", 60, [][]byte{[]byte(entry("DRAINING"))})
	table.ApplyGossip("127.0.0.1:1", 60, [][]byte{[]byte(entry("DELETED"))})
	processMailbox := func() {
		for _, message := range table.box.Drain(nil) {
			message(table)
		}
	}
	if processMailbox(); sink.last != decision.Removed {
		t.Errorf("after gossip from this discovery: got state %d, want the runner removed", sink.last)
	}
	table.SetAddress("127.0.0.1:2")
	processMailbox()
	if table.applyJSON(update(1, true, "SERVING")); sink.last != decision.Ready {
		t.Errorf("after a change of address: got state %d, want gossip from the old discovery dropped", sink.last)
	}
	if len(table.gossiped) > 0 {
		t.Errorf("got gossiped entries %v after a change of address, want none", table.gossiped)
	}
	resets := 0
	for _, x := range updates {
		if x.VersionReset {
			resets++
		}
		if len(x.Entries) != 1 || x.Entries[0].State != decision.Ready {
			t.Errorf("got update %+v, want what discovery sent and nothing gossiped", x)
		}
	}
	if resets != 1 || len(updates) != 7 {
		t.Errorf("got %d updates, %d of them with a version reset, want 7 and 1", len(updates), resets)
	}
}

// stateSink records the state of the last route that the table passes to it.
type stateSink struct{ last decision.MemberState }

func (s *stateSink) RoutesReplaced(r []core.Route) { s.RoutesChanged(r) }
func (s *stateSink) RoutesChanged(r []core.Route) {
	for i := range r {
		s.last = r[i].State
	}
}
func (s *stateSink) DiscoveryFailed() {}
