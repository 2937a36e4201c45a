package main

import (
	"fmt"
	"sync/atomic"
	"time"

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
	// finalSaveTimeout is how long the last state may take at the process's end; with what
	// telemetry may take it stays within lead.
	finalSaveTimeout = 200 * time.Millisecond
	// outageTime is how long discovery has to be away for its next list to be doubted, and
	// askRate how many runners a dispatcher asks in a second.
	outageTime = 5 * time.Second
	probeRate  = 100
	// probeTimeout is how long a runner that is asked may take beside its connect timeout.
	probeTimeout = 500 * time.Millisecond
)

// storedState is what is kept on disk of the runners.
type storedState struct {
	log    *logrus.Entry
	dir    *rosterstore.Dir
	loaded *rosterstore.Snapshot
	writer *rosterstore.Writer

	classes atomic.Pointer[[]string]
}

// openState reads what is kept. What can't be read is said and passed over; only a folder
// that can't be one ends the start.
func openState(cfg config.Config, log *logrus.Entry) (*storedState, error) {
	dir, err := rosterstore.Open(cfg.State.Dir, cfg.Name, int(cfg.State.Generations))
	if err != nil {
		return nil, fmt.Errorf("configuration: state.dir: %w", err)
	}
	s := &storedState{log: log, dir: dir}
	s.classes.Store(&cfg.Names.Classes)
	s.loaded, err = dir.Load(func(file string, why error) {
		log.WithError(why).WithField("file", file).Warn("a stored list is passed over")
	})
	if err != nil {
		log.WithError(err).Warn("no stored list can be read")
	}
	s.writer = rosterstore.NewWriter(dir, cfg.State.WriteInterval, log)
	return s, nil
}

// applyMeanRunTimes tells the module how long jobs of each class ran before. Without it a class
// counts as long as its objective, and cold runners get none of it until they are warm.
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

// newRoster makes the actor and ties it to the core and the figures.
func (s *storedState) newRoster(cfg config.Config, c *core.Core, table *routetable.Table, counts *telemetry.Counts) *roster.Roster {
	of := rosterConfig(cfg)
	of.Classes = func() []string { return *s.classes.Load() }
	k := roster.New(of, c, table, roster.NewHTTPProber(cfg.Module.Limits.ProbeAllowed), s.writer, table.Parse, s.log)
	c.SetWorkerObserver(k)
	counts.Stored(func() (time.Duration, int, int) {
		now := k.Status()
		return now.Age, now.Used, now.Withheld
	})
	return k
}

// start hands over what was kept, unless an older process has told what it knows itself.
func (s *storedState) start(k *roster.Roster, older handover.State, seed uint64) {
	if len(older.List) > 0 && older.HasMembers() {
		k.LoadStored(nil, seed)
		return
	}
	k.LoadStored(s.loaded, seed)
}

func rosterConfig(cfg config.Config) roster.Config {
	zone := ""
	if z := cfg.Module.Zone; z < len(cfg.Names.Zones) {
		zone = cfg.Names.Zones[z]
	}
	return roster.Config{Name: cfg.Name, WriteInterval: cfg.State.WriteInterval, ProbeTimeout: cfg.Module.Limits.ConnectTimeout + probeTimeout,
		Policy: rosterpolicy.Config{Fresh: cfg.State.Fresh, Old: cfg.State.Old, Max: cfg.State.Max, Zone: zone, ProbeRate: probeRate,
			Number: cfg.Module.Instance, Dispatchers: max(cfg.Module.Instances, 1), Outage: outageTime,
			MaxMissing: cfg.State.MaxMissing, DoubtTimeout: cfg.State.DoubtTimeout, WarmUp: cfg.Module.Rules.WarmUp}}
}

// storedListNote tells operators what the process serves from; nothing while that is
// discovery's list.
func storedListNote(k *roster.Roster) string {
	if k == nil {
		return ""
	}
	s := k.Status()
	if !s.Stored {
		return ""
	}
	return fmt.Sprintf("serving from a stored list, %s old: %d runners used, %d not yet\n", s.Age.Round(time.Second), s.Used, s.Withheld)
}
