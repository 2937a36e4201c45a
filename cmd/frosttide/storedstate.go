package main

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/handover"
	"frosttide/internal/dispatcher/roster"
	"frosttide/internal/dispatcher/rosterpolicy"
	"frosttide/internal/dispatcher/rosterstore"
	"frosttide/internal/dispatcher/routetable"
	"frosttide/internal/dispatcher/telemetry"
)

const (
	// outageTime is how long discovery has to be unavailable before its next list is checked for
	// plausibility.
	outageTime = 5 * time.Second
	// probeRate is the number of workers that a dispatcher probes per second.
	probeRate = 100
	// probeTimeout is the time for a probe's response, in addition to the connect timeout.
	probeTimeout = 500 * time.Millisecond
)

// storedState gives access to the worker list that is stored on disk.
type storedState struct {
	log    *logrus.Entry
	dir    *rosterstore.Dir
	loaded *rosterstore.Snapshot // snapshot read at startup; nil if there is none
	writer *rosterstore.Writer

	classes atomic.Pointer[[]string] // names of the classes in force, indexed by class number
}

// openState opens the state directory and reads the newest valid snapshot. Unreadable snapshots
// are logged and skipped; openState fails only if the directory can't be used.
func openState(cfg config.Config, log *logrus.Entry) (*storedState, error) {
	dir, err := rosterstore.Open(cfg.State.Dir, cfg.Name, int(cfg.State.Generations))
	if err != nil {
		return nil, errors.Wrap(err, "configuration: state.dir")
	}
	s := &storedState{log: log, dir: dir}
	s.classes.Store(&cfg.Names.Classes)
	s.loaded, err = dir.Load(func(file string, reason error) {
		log.WithError(reason).WithField("file", file).Warn("a stored list is passed over")
	})
	if err != nil {
		log.WithError(err).Warn("no stored list can be read")
	}
	s.writer = rosterstore.NewWriter(dir, cfg.State.WriteInterval, log)
	return s, nil
}

// applyMeanRunTimes sets each class's mean run time to the stored one. Without it the run time of
// a class is assumed to equal its latency objective, and warming workers get none of its jobs.
func (s *storedState) applyMeanRunTimes(cfg *config.Config) {
	if s.loaded == nil {
		return
	}
	for i, name := range cfg.Names.Classes {
		if run := s.loaded.Runs[name]; run > 0 {
			cfg.Module.Classes[i].MeanRunTime = run
		}
	}
}

// newRoster creates the roster and connects it to the core and the metrics.
func (s *storedState) newRoster(cfg config.Config, c *core.Core, table *routetable.Table, counts *telemetry.Counts) *roster.Roster {
	rosterCfg := rosterConfig(cfg)
	rosterCfg.Classes = func() []string { return *s.classes.Load() }
	r := roster.New(rosterCfg, c, table, roster.NewHTTPProber(cfg.Module.Limits.ProbeAllowed), s.writer, table.Parse, s.log)
	c.SetWorkerObserver(r)
	counts.RegisterStoredList(func() (time.Duration, int, int) {
		status := r.Status()
		return status.Age, status.Used, status.Withheld
	})
	return r
}

// start passes the stored list to the roster, unless an older process has handed over its own
// list, which is newer.
func (s *storedState) start(r *roster.Roster, older handover.State, seed uint64) {
	if len(older.List) > 0 && older.HasMembers() {
		r.LoadStored(nil, seed)
		return
	}
	r.LoadStored(s.loaded, seed)
}

// rosterConfig returns the roster's configuration.
func rosterConfig(cfg config.Config) roster.Config {
	zone := ""
	if z := cfg.Module.Zone; z < len(cfg.Names.Zones) {
		zone = cfg.Names.Zones[z]
	}
	return roster.Config{
		Name:          cfg.Name,
		WriteInterval: cfg.State.WriteInterval,
		ProbeTimeout:  cfg.Module.Limits.ConnectTimeout + probeTimeout,
		Policy: rosterpolicy.Config{
			Fresh:        cfg.State.Fresh,
			Old:          cfg.State.Old,
			Max:          cfg.State.Max,
			Zone:         zone,
			ProbeRate:    probeRate,
			Number:       cfg.Module.Instance,
			Dispatchers:  max(cfg.Module.Instances, 1),
			Outage:       outageTime,
			MaxMissing:   cfg.State.MaxMissing,
			DoubtTimeout: cfg.State.DoubtTimeout,
			WarmUp:       cfg.Module.Rules.WarmUp,
		},
	}
}

// storedListNote returns the line that the readiness endpoint shows to operators while the process
// serves from a stored list. It is empty once discovery's list is used, and without a roster.
func storedListNote(r *roster.Roster) string {
	if r == nil {
		return ""
	}
	s := r.Status()
	if !s.Stored {
		return ""
	}
	return fmt.Sprintf("serving from a stored list, %s old: %d runners used, %d not yet\n", s.Age.Round(time.Second), s.Used, s.Withheld)
}
