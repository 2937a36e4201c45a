package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"frosttide/internal/testkit/lab/scale"
	"frosttide/internal/testkit/lab/size"
)

// Slopes that the capacity page rests on. A short run fails when one has doubled.
const (
	kibAWorker  = 7.0   // peak memory
	bytesChange = 135.0 // of the list, for each change
	kbWrite     = 24.0  // that the leader writes to streams and its disk for a write of the log, with a few members
	// A hollow member sends by UDP about what a real one does.
	leastHollow, mostHollow = 0.5, 2.0
)

// TestShortScale guards the slopes of the capacity page: two points an axis, one run each, of what does
// not swing with the machine.
func TestShortScale(t *testing.T) {
	t.Parallel()
	points, err := scale.Run(t.Context(), scale.Plan{Binary: binary(t), Role: scale.Dispatcher, Axes: []scale.Axis{scale.Workers, scale.Changes},
		Repeats: 1, For: 2 * time.Second, AtOnce: 2, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range scale.Fit(scale.Dispatcher, points) {
		most := 0.0
		switch {
		case l.Axis == scale.Workers && l.Quantity == "peak memory" && !raceEnabled:
			most = 2 * kibAWorker * 1024 / 1e6
		case l.Axis == scale.Changes && l.Quantity == "lists":
			most = 2 * bytesChange / 1000
		default:
			continue
		}
		if l.Slope > most {
			t.Errorf("%s by %s: a slope of %.4g, over twice what the capacity page rests on (%.4g)", l.Quantity, l.Axis, l.Slope, most/2)
		}
	}
	for _, p := range points {
		if p.Need.Served < 0.9 {
			t.Errorf("%s at %g: %.2f of the jobs are served", p.Axis, p.X, p.Need.Served)
		}
	}
}

// TestShortLeader guards what a write of the agreed log costs its leader in bytes, with a few members:
// it swings with no machine.
func TestShortLeader(t *testing.T) {
	t.Parallel()
	points, err := scale.Run(t.Context(), scale.Plan{Binary: binary(t), Role: scale.Leader, Axes: []scale.Axis{scale.Writes},
		Repeats: 1, For: 2 * time.Second, AtOnce: 1, Seed: 1, Short: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range points {
		if p.Failed > 0 || p.Wrote == 0 {
			t.Errorf("at %g writes a second %d were acknowledged and %d not", p.X, p.Wrote, p.Failed)
		}
		if p.Hollow < leastHollow || p.Hollow > mostHollow {
			t.Errorf("at %g writes a second a hollow member sent %.2f times what the real one did", p.X, p.Hollow)
		}
	}
	for _, l := range scale.Fit(scale.Leader, points) {
		t.Logf("%s by %s: %+v", l.Quantity, l.Axis, l)
		if l.Quantity == "written" && l.Slope > 2*kbWrite {
			t.Errorf("a write costs its leader %.3g KB, over twice what the capacity page rests on (%g)", l.Slope, kbWrite)
		}
	}
}

// binary is this test binary as a program of its own.
func binary(t *testing.T) string {
	t.Helper()
	script := filepath.Join(t.TempDir(), "frosttide")
	text := "#!/bin/sh\nFROSTTIDE_TEST_PROGRAM=1 " + raceOptions + " exec " + os.Args[0] + " \"$@\"\n"
	text = strings.Replace(text, raceOptions, "GORACE='"+strings.TrimPrefix(raceOptions, "GORACE=")+"'", 1)
	if err := os.WriteFile(script, []byte(text), 0o700); err != nil {
		t.Fatal(err)
	}
	return script
}

// TestShortUrgent has urgent work start at workers that have room, and what was asked for counted.
func TestShortUrgent(t *testing.T) {
	t.Parallel()
	u, err := size.RunUrgent(t.Context(), size.UrgentPlan{Binary: binary(t), Workers: 10, Load: 0.2, For: 2 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if u.Asked < 4 || u.Started < u.Asked-1 || u.P50 <= 0 || u.Most < u.P50 {
		t.Errorf("%+v", u)
	}
}
