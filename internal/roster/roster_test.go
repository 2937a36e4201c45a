package roster

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"frosttide/decision"
	"frosttide/internal/core"
	"frosttide/internal/rosterstore"
	"frosttide/internal/trust"
)

// BenchmarkSave measures what writing the state costs at 2,000 runners: gathering, which
// the actor does, and packing, which the writer's goroutine does.
func BenchmarkSave(b *testing.B) {
	r := New(Config{Name: "n0", Classes: func() []string { return []string{"cut"} }}, nil, nil, nil, nil, nil, nil)
	r.lists = trust.NewLists(r.cfg.Trust, false)
	known := core.Snapshot{Health: map[string]decision.Health{}, Runs: []time.Duration{time.Second}}
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
	b.Run("pack", func(b *testing.B) {
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
