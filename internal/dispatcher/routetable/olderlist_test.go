package routetable

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"frosttide/decision"
	"frosttide/internal/dispatcher/core"
)

// routesSink holds the state of each runner as the table has passed it on, by uid.
type routesSink map[string]decision.MemberState

func (s routesSink) RoutesReplaced(routes []core.Route) {
	clear(s)
	s.RoutesChanged(routes)
}

func (s routesSink) RoutesChanged(routes []core.Route) {
	for _, r := range routes {
		if s[r.UID] = r.State; isRemoved(r) {
			delete(s, r.UID)
		}
	}
}

func (s routesSink) DiscoveryFailed() {}

// listText returns an update in discovery's format. A runner is given as its uid if it is serving,
// otherwise as uid=state.
func listText(version int, full bool, runners ...string) []byte {
	var entries []string
	for _, r := range runners {
		uid, state, _ := strings.Cut(r+"=SERVING", "=")
		state, _, _ = strings.Cut(state, "=")
		entries = append(entries, fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","state":%q}`, uid, state))
	}
	return fmt.Appendf(nil, `{"rev":%d,"all":%t,"targets":[%s]}`, version, full, strings.Join(entries, ","))
}

// TestOlderFullList guards against a discovery that, while it shuts down or starts, sends an older
// full list without runners that serve: callers got 503 from every dispatcher.
func TestOlderFullList(t *testing.T) {
	const ready, draining = decision.Ready, decision.Draining
	all := routesSink{"s-1": ready, "s-2": ready}
	for _, tc := range []struct {
		name     string
		pushed   bool
		timedOut bool // olderListTimeout has passed before the last update
		updates  [][]byte
		want     routesSink
	}{
		{name: "without any runner", updates: [][]byte{listText(41, true)}, want: all},
		{name: "without one of them", updates: [][]byte{listText(41, true, "s-2")}, want: all},
		{name: "sent again at once", updates: [][]byte{listText(41, true), listText(41, true)}, want: all},
		{name: "older still", updates: [][]byte{listText(41, true), listText(7, true)}, want: all},
		{name: "of an agent", pushed: true, updates: [][]byte{listText(41, true)}, want: all},
		{name: "followed by changes up to the version", updates: [][]byte{listText(41, true), listText(42, false, "s-1", "s-2")}, want: all},
		{name: "followed by changes that lack one", updates: [][]byte{listText(41, true), listText(43, false, "s-2")}, want: routesSink{"s-2": ready}},
		{name: "followed by a removal", updates: [][]byte{listText(40, true), listText(41, false, "s-1=DELETED")}, want: routesSink{"s-2": ready}},
		{name: "confirmed later", timedOut: true, updates: [][]byte{listText(41, true), listText(41, true)}, want: routesSink{}},
		{name: "with a runner that was drained since", updates: [][]byte{listText(43, false, "s-1=DRAINING"), listText(41, true, "s-1", "s-2")},
			want: routesSink{"s-1": draining, "s-2": ready}},
		{name: "with a runner that is drained", updates: [][]byte{listText(41, true, "s-2=DRAINING")}, want: routesSink{"s-1": ready, "s-2": draining}},
		{name: "newer, not older", updates: [][]byte{listText(43, true)}, want: routesSink{}},
		{name: "of the same version", updates: [][]byte{listText(42, true, "s-2")}, want: routesSink{"s-2": ready}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sink := routesSink{}
			table := New(Config{Addr: "127.0.0.1:1", AlwaysFull: true, Pushed: tc.pushed, DrainGrace: time.Hour}, discardLogger())
			table.Load(listText(42, true, "s-1", "s-2"), sink)
			for i, text := range tc.updates {
				if tc.timedOut && i == len(tc.updates)-1 {
					table.startedAt = table.startedAt.Add(-olderListTimeout)
				}
				table.applyJSON(text)
			}
			if diff := cmp.Diff(tc.want, sink); diff != "" {
				t.Errorf("routes in force (-want +got):\n%s", diff)
			}
			if len(table.entries) != len(tc.want) { // the entries are stored and handed over
				t.Errorf("table holds %d entries, want %d", len(table.entries), len(tc.want))
			}
		})
	}
}

// TestOlderUpdates checks updates that are older than the list in force. The first changes of a
// watch end it, because they would be applied to a different list; a full list that arrives beside
// a watch has no effect.
func TestOlderUpdates(t *testing.T) {
	for _, tc := range []struct {
		name          string
		watch         bool // the update comes from the watch
		watchComplete bool // there is a watch that has sent everything
		update        []byte
		wantCanceled  bool
		wantVersion   uint64
	}{
		{"first changes of a watch", true, false, listText(41, false, "s-1=DRAINING"), true, 42},
		{"full list of a watch", true, false, listText(41, true, "s-1"), false, 41},
		{"full list beside a watch", false, true, listText(41, true), false, 42},
		{"full list without a watch", false, false, listText(41, true), false, 41},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sink := routesSink{}
			table := New(Config{Addr: "127.0.0.1:1"}, discardLogger())
			table.Load(listText(42, true, "s-1"), sink)
			table.watchComplete = tc.watchComplete
			ctx, cancel := context.WithCancelCause(t.Context())
			c := &call{watch: tc.watch, ctx: ctx, cancel: cancel, callsContext: t.Context()}
			var update membershipUpdate
			if err := json.Unmarshal(tc.update, &update); err != nil {
				t.Fatal(err)
			}
			table.handleUpdate(c, update)
			if canceled := ctx.Err() != nil; canceled != tc.wantCanceled || table.version != tc.wantVersion {
				t.Errorf("got canceled %v, version %d; want %v, %d", canceled, table.version, tc.wantCanceled, tc.wantVersion)
			}
			if sink["s-1"] != decision.Ready {
				t.Errorf("got state %d of the runner, want it ready", sink["s-1"])
			}
		})
	}
}

// TestOlderListIsAskedFor checks that a discovery whose versions were reset is asked for its list
// again, and that the second list is accepted.
func TestOlderListIsAskedFor(t *testing.T) {
	var queries []string
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries = append(queries, r.URL.RawQuery)
		w.Write(listText(3, true, "s-2"))
	}))
	defer discovery.Close()
	sink := routesSink{}
	table := New(Config{Addr: strings.TrimPrefix(discovery.URL, "http://"), Pushed: true, DrainGrace: 2 * minRetryInterval}, discardLogger())
	table.Load(listText(42, true, "s-1", "s-2"), sink)
	table.applyJSON(listText(3, true, "s-2"))
	if len(sink) != 2 {
		t.Fatalf("got routes %v after the first older list, want both runners kept", sink)
	}
	for by := time.Now().Add(20 * time.Second); len(sink) != 1; {
		select {
		case <-table.box.Ready():
		case <-time.After(time.Until(by)):
			t.Fatal("no second list was requested and accepted")
		}
		for _, message := range table.box.Drain(nil) {
			message(table)
		}
	}
	if !slices.Contains(queries, "") {
		t.Errorf("got requests with the queries %q, want one without a query", queries)
	}
}
