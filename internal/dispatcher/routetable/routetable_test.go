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

// sink takes down what the table tells.
type sink struct{ replaced, changed, failed int }

func (s *sink) RoutesReplaced([]core.Route) { s.replaced++ }
func (s *sink) RoutesChanged([]core.Route)  { s.changed++ }
func (s *sink) DiscoveryFailed()            { s.failed++ }

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return logrus.NewEntry(log)
}

// TestRetryInterval guards the rule on drains against an agent that is away for a moment, and the
// machine against calls without end: the wait grows to an eighth of the grace and no further.
func TestRetryInterval(t *testing.T) {
	for _, tc := range []struct {
		grace, first, longest time.Duration
	}{
		{400 * time.Millisecond, minRetryInterval, 50 * time.Millisecond},
		{500 * time.Millisecond, minRetryInterval, 62500 * time.Microsecond},
		{0, minRetryInterval, minRetryInterval},
		{time.Hour, minRetryInterval, maxRetryInterval},
		{math.MaxInt64, minRetryInterval, maxRetryInterval},
	} {
		table := New(Config{Addr: "127.0.0.1:1", Pushed: true, DrainGrace: tc.grace}, quiet())
		var waits []time.Duration
		for table.failures = 0; table.failures < 40; table.failures++ {
			waits = append(waits, table.retryInterval())
		}
		if diff := cmp.Diff([]time.Duration{tc.first, tc.longest}, []time.Duration{waits[0], waits[39]}); diff != "" {
			t.Errorf("grace %v: first and longest wait (-want +got):\n%s", tc.grace, diff)
		}
	}
}

// TestRetriesAfterFailedCall guards rule 3 where discovery was down: after a call that failed the table asks
// again by itself, within the time after which what it missed counts as told, however many
// dispatchers there are and whatever the module would wait.
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
			t.Errorf("asked again %v after a call that failed", wait)
		}
	case <-time.After(2 * freshness.NotifiedWithin):
		t.Error("not asked again")
	}
}

// FuzzUpdate has no text from discovery end the program or be taken for a list half.
func FuzzUpdate(f *testing.F) {
	f.Add([]byte(`{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,"state":"SERVING","capacity_hint":1.0,"boot_ms":0}]}`))
	f.Add([]byte(`{"rev":43,"all":false,"targets":[{"uid":"s-1","state":"DELETED"}]}`))
	f.Add([]byte(`{"rev":-1,"all":true}`))
	f.Add([]byte(`{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"x","state":"SERVING"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, s := New(Config{Addr: "127.0.0.1:1"}, quiet()), &sink{}
		table.sink = s
		taken := table.applyText(text)
		if updates := s.replaced + s.changed; taken != (updates == 1) || updates > 1 {
			t.Errorf("read: %v, told %d times", taken, updates)
		}
		if !taken && (len(table.entries) > 0 || table.version != 0) {
			t.Error("what could not be read left something behind")
		}
	})
}

// TestGossipedEntries guards rule 3 among dispatchers: a drain that another's discovery has told
// counts until ours has come as far, an older word than ours changes nothing, and versions
// that begin anew end all that was heard.
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
	for i, step := range []struct {
		do   func()
		want decision.MemberState
	}{
		{func() { table.applyGossip(39, [][]byte{[]byte(entry("DRAINING"))}) }, decision.Ready},
		{func() { table.applyGossip(43, [][]byte{[]byte(entry("DRAINING"))}) }, decision.Draining},
		{func() { table.applyText(update(42, false, "SERVING")) }, decision.Draining},
		{func() { table.applyText(update(42, true, "SERVING")) }, decision.Draining},
		{func() { table.applyGossip(42, [][]byte{[]byte(entry("SERVING"))}) }, decision.Draining},
		{func() { table.applyText(update(44, false, "SERVING")) }, decision.Ready},
		{func() { table.applyGossip(50, [][]byte{[]byte(entry("DELETED")), []byte("{")}) }, decision.Removed},
		{func() { table.applyText(update(3, true, "SERVING")) }, decision.Ready},
		{func() { table.applyText(update(4, false, "SERVING")) }, decision.Ready},
	} {
		if step.do(); sink.last != step.want {
			t.Errorf("step %d leaves the runner in state %d, want %d", i, sink.last, step.want)
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
		t.Errorf("a word from this discovery does not count: %d", sink.last)
	}
	table.SetAddress("127.0.0.1:2")
	work()
	if table.applyText(update(1, true, "SERVING")); sink.last != decision.Ready {
		t.Errorf("after a move a word about the old discovery counts: %d", sink.last)
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
			t.Errorf("told of %+v, want what discovery said and nothing heard", x)
		}
	}
	if resets != 1 || len(updates) != 7 {
		t.Errorf("told %d times, %d of them that versions begin anew", len(updates), resets)
	}
}

// states remembers how the last runner told of is.
type states struct{ last decision.MemberState }

func (s *states) RoutesReplaced(r []core.Route) { s.RoutesChanged(r) }
func (s *states) RoutesChanged(r []core.Route) {
	for i := range r {
		s.last = r[i].State
	}
}
func (s *states) DiscoveryFailed() {}
