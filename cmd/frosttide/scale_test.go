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

// Slopes that the capacity page is based on. A short run fails when one has doubled.
const (
	kibPerWorker   = 7.0   // peak memory in KiB
	bytesPerChange = 135.0 // of target lists in bytes
	// KB that the leader writes to streams and its disk for a write to the log, with a few members.
	kbPerWrite = 24.0
	// Bounds of the UDP traffic of a simulated member, relative to that of the real one.
	minSimulatedRatio, maxSimulatedRatio = 0.5, 2.0
)

// TestShortScale checks the slopes on the capacity page with two points per axis and one run for
// each point. It covers only quantities that do not vary with the machine.
func TestShortScale(t *testing.T) {
	t.Parallel()
	points, err := scale.Run(t.Context(), scale.Plan{Binary: binary(t), Role: scale.Dispatcher, Axes: []scale.Axis{scale.Workers, scale.Changes},
		Repeats: 1, For: 2 * time.Second, AtOnce: 2, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range scale.Fit(scale.Dispatcher, points) {
		limit := 0.0
		switch {
		case l.Axis == scale.Workers && l.Quantity == "peak memory" && !raceEnabled:
			limit = 2 * kibPerWorker * 1024 / 1e6
		case l.Axis == scale.Changes && l.Quantity == "lists":
			limit = 2 * bytesPerChange / 1000
		default:
			continue
		}
		if l.Slope > limit {
			t.Errorf("%s by %s: slope %.4g, more than twice that of the capacity page (%.4g)", l.Quantity, l.Axis, l.Slope, limit/2)
		}
	}
	for _, p := range points {
		if p.Need.Served < 0.9 {
			t.Errorf("%s at %g: %.2f of the jobs are served, want at least 0.9", p.Axis, p.X, p.Need.Served)
		}
	}
}

// TestShortLeader checks how many bytes the leader of the replicated log writes for one write to
// the log, with a few members. The figure does not vary with the machine.
func TestShortLeader(t *testing.T) {
	t.Parallel()
	points, err := scale.Run(t.Context(), scale.Plan{Binary: binary(t), Role: scale.Leader, Axes: []scale.Axis{scale.Writes},
		Repeats: 1, For: 2 * time.Second, AtOnce: 1, Seed: 1, Short: true})
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range points {
		if p.Failed > 0 || p.Wrote == 0 {
			t.Errorf("at %g writes per second %d were acknowledged and %d failed, want some acknowledged and none failed", p.X, p.Wrote, p.Failed)
		}
		if p.Hollow < minSimulatedRatio || p.Hollow > maxSimulatedRatio {
			t.Errorf("at %g writes per second a simulated member sent %.2f times as much as the real one, want 0.5 to 2", p.X, p.Hollow)
		}
	}
	for _, l := range scale.Fit(scale.Leader, points) {
		t.Logf("%s by %s: %+v", l.Quantity, l.Axis, l)
		if l.Quantity == "written" && l.Slope > 2*kbPerWrite {
			t.Errorf("the leader writes %.3g KB for a write to the log, more than twice the figure of the capacity page (%g)", l.Slope, kbPerWrite)
		}
	}
}

// binary returns the path of a script that runs frosttide from this test binary.
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

// TestShortUrgent checks that urgent jobs start on workers with free capacity and that requests for
// them are counted.
func TestShortUrgent(t *testing.T) {
	t.Parallel()
	u, err := size.RunUrgent(t.Context(), size.UrgentPlan{Binary: binary(t), Workers: 10, Load: 0.2, For: 2 * time.Second, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if u.Asked < 4 || u.Started < u.Asked-1 || u.P50 <= 0 || u.Most < u.P50 {
		t.Errorf("got %+v, want at least 4 requests, all but one started, and 0 < P50 <= Most", u)
	}
}
