package metrics

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/control/placement"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/protocol"
)

// newStubMember starts an API that responds with the given states, and returns its address. If
// placementStatus is nil, the API responds to queries of the placement role with status 503.
func newStubMember(t *testing.T, status *replica.Status, placementStatus *scheduler.Status) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(status) })
	mux.HandleFunc("GET /v1/scheduler", func(w http.ResponseWriter, _ *http.Request) {
		if placementStatus == nil {
			http.Error(w, "the control plane does not answer", http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(placementStatus)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// gather scrapes members and returns the value of each metric. The keys consist of the metric's
// name without prefix and its label values, separated by spaces.
func gather(t *testing.T, members ...string) map[string]float64 {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(NewCollector(members))
	all, err := registry.Gather()
	require.NoError(t, err)
	out := make(map[string]float64)
	for _, f := range all {
		for _, m := range f.GetMetric() {
			name := strings.TrimPrefix(f.GetName(), "frosttide_")
			for _, l := range m.GetLabel() {
				name += " " + l.GetValue()
			}
			out[name] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return out
}

var testView = &protocol.View{Epoch: 7, Voters: []*protocol.Member{{Id: 1}, {Id: 2}, {Id: 3}}, Chain: []uint64{1, 2}}

var testPlacement = &scheduler.Status{
	Epoch:         7,
	ConfigVersion: 3,
	Jobs:          map[string]int{"running": 2},
	Runners: []scheduler.RunnerStatus{
		{
			ID: "a", Service: "s", InSession: true, Usable: true, Runs: 2,
			Capacity: placement.Resources{CPU: 4000, MemMB: 10, GPUs: 8},
			Used:     placement.Resources{CPU: 1500, MemMB: 5, GPUs: 2},
		},
		{ID: "b", Service: "s", Capacity: placement.Resources{CPU: 2000}},
	},
	Services: map[string]scheduler.ServiceStatus{"s": {
		Counters:     scheduler.Counters{Ready: 20, Blocked: 5, Started: 15, Ended: map[string]uint64{"done": 11, "failed": 2}},
		WaitingTasks: 4,
		OldestWaitMs: 1500,
	}},
}

func TestScrape(t *testing.T) {
	follower := newStubMember(t, &replica.Status{View: testView, Index: 9, DiskLagMs: 250}, nil)
	head := newStubMember(t, &replica.Status{View: testView, Index: 10, Committed: 10, Serving: true}, testPlacement)
	const unreachable = "127.0.0.1:1"
	got := gather(t, follower, head, unreachable)
	for name, want := range map[string]float64{
		"up " + follower:               1,
		"up " + head:                   1,
		"up " + unreachable:            0,
		"view_epoch " + head:           7,
		"voters " + head:               3,
		"chain_length " + follower:     2,
		"serving " + head:              1,
		"serving " + follower:          0,
		"entry " + follower:            9,
		"committed_entry " + head:      10,
		"disk_lag_seconds " + follower: 0.25,
		"fencing_token":                7,
		"config_version":               3,
		"jobs running":                 2,
		"runners s ready":              1,
		"runners s out of touch":       1,
		"runs s":                       2,
		"cpu_cores capacity s":         6,
		"cpu_cores used s":             1.5,
		"memory_bytes used s":          5 << 20,
		"gpus capacity s":              8,
		"gpus used s":                  2,
		"waiting_tasks s":              4,
		"oldest_wait_seconds s":        1.5,
		"tasks_ready_total s":          20,
		"tasks_blocked_total s":        5,
		"runs_started_total s":         15,
		"runs_ended_total done s":      11,
		"runs_ended_total failed s":    2,
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, got, name)
			require.InDelta(t, want, got[name], 1e-9)
		})
	}
}

func TestScrapeWithoutPlacementRole(t *testing.T) {
	member := newStubMember(t, &replica.Status{}, nil)
	got := gather(t, member)
	require.NotContains(t, got, "fencing_token", "no member can read the state of the placement role")
	require.InDelta(t, 1, got["up "+member], 0)
}
