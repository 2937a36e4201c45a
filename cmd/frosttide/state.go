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
	// lastSave is how long the last state may take at the process's end; with what
	// telemetry may take it stays within lead.
	lastSave = 200 * time.Millisecond
	// outage is how long discovery has to be away for its next list to be doubted, and
	// askRate how many runners a dispatcher asks in a second.
	outage  = 5 * time.Second
	askRate = 100
	// answerTime is how long a runner that is asked may take beside its connect timeout.
	answerTime = 500 * time.Millisecond
)

// state is what is kept on disk of the runners.
type state struct {
	log    *logrus.Entry
	dir    *rosterstore.Dir
	loaded *rosterstore.Snapshot
	writer *rosterstore.Writer

	classes atomic.Pointer[[]string]
}

// openState reads what is kept. What can't be read is said and passed over; only a folder
// that can't be one ends the start.
func openState(cfg config.Config, log *logrus.Entry) (*state, error) {
	dir, err := rosterstore.Open(cfg.State.Dir, cfg.Name, int(cfg.State.Generations))
	if err != nil {
		return nil, fmt.Errorf("configuration: state.dir: %w", err)
	}
	s := &state{log: log, dir: dir}
	s.classes.Store(&cfg.Names.Classes)
	s.loaded, err = dir.Load(func(file string, why error) {
		log.WithError(why).WithField("file", file).Warn("a stored list is passed over")
	})
	if err != nil {
		log.WithError(err).Warn("no stored list can be read")
	}
	s.writer = rosterstore.NewWriter(dir, cfg.State.Every, log)
	return s, nil
}

// learned tells the module how long jobs of each class ran before. Without it a class
// counts as long as its objective, and cold runners get none of it until they are warm.
func (s *state) learned(cfg *config.Config) {
	if s.loaded == nil {
		return
	}
	for i, name := range cfg.Names.Classes {
		if run := s.loaded.Runs[name]; run > 0 {
			cfg.Module.Classes[i].Run = run
		}
	}
}

// roster makes the actor and ties it to the core and the figures.
func (s *state) roster(cfg config.Config, c *core.Core, table *routetable.Table, counts *telemetry.Counts) *roster.Roster {
	of := rosterConfig(cfg)
	of.Classes = func() []string { return *s.classes.Load() }
	k := roster.New(of, c, table, roster.NewAsker(cfg.Module.Limits.ProbeAllowed), s.writer, table.Parse, s.log)
	c.Testify(k)
	counts.Stored(func() (time.Duration, int, int) {
		now := k.Status()
		return now.Age, now.Used, now.Withheld
	})
	return k
}

// begin hands over what was kept, unless an older process has told what it knows itself.
func (s *state) begin(k *roster.Roster, older handover.State, seed uint64) {
	if len(older.List) > 0 && older.Listed() {
		k.Begin(nil, seed)
		return
	}
	k.Begin(s.loaded, seed)
}

func rosterConfig(cfg config.Config) roster.Config {
	zone := ""
	if z := cfg.Module.Zone; z < len(cfg.Names.Zones) {
		zone = cfg.Names.Zones[z]
	}
	return roster.Config{Name: cfg.Name, Every: cfg.State.Every, Answer: cfg.Module.Limits.ConnectTimeout + answerTime,
		Trust: rosterpolicy.Config{Fresh: cfg.State.Fresh, Old: cfg.State.Old, Max: cfg.State.Max, Zone: zone, Rate: askRate,
			Number: cfg.Module.Instance, Dispatchers: max(cfg.Module.Instances, 1), Outage: outage,
			Lost: cfg.State.DoubtShare, Doubt: cfg.State.DoubtFor, Warm: cfg.Module.Rules.WarmUp}}
}

// storedNote tells operators what the process serves from; nothing while that is
// discovery's list.
func storedNote(k *roster.Roster) string {
	if k == nil {
		return ""
	}
	s := k.Status()
	if !s.Stored {
		return ""
	}
	return fmt.Sprintf("serving from a stored list, %s old: %d runners used, %d not yet\n", s.Age.Round(time.Second), s.Used, s.Withheld)
}
