package main

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/config"
	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/egress"
	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/gearman"
	"frosttide/internal/dispatcher/telemetry"
)

// backends opens the target of each runner where it is: over the platform's protocol, or on
// the connection by which a Gearman worker has come.
type backends struct {
	*egress.Fleet
	gearman *gearman.Server // nil where there is none; set before the first Open
}

func (t *backends) Open(worker decision.WorkerID, uid, addr string) core.Backend {
	if t.gearman != nil && gearman.Has(addr) {
		return t.gearman.Open(addr)
	}
	return t.Fleet.Open(worker, uid, addr)
}

// gearmanFront is the Gearman front with what a reload may change of it.
type gearmanFront struct {
	*gearman.Server
	tls *gearman.TLS // nil for none
	log *logrus.Entry
}

func openGearman(cfg config.Config, c *core.Core, counts *telemetry.Counts, stories *export.Exporter, log *logrus.Entry) (*gearmanFront, error) {
	f := &gearmanFront{log: log}
	g := cfg.Gearman
	of := gearman.Config{Listen: g.Listen, Functions: gearmanFunctions(cfg), Zone: max(slices.Index(cfg.Names.Zones, g.Zone), 0),
		Kind: max(slices.Index(cfg.Names.Kinds, g.Kind), 0), ZoneName: g.Zone, Connections: int(g.Connections), Jobs: int(g.Jobs), Packet: int(g.Packet)}
	if g.Certificate != "" {
		f.tls = &gearman.TLS{}
		if err := f.tls.Read(gearman.Certificates{Certificate: g.Certificate, Key: g.Key, Clients: g.Clients}); err != nil {
			return nil, err
		}
		of.TLS = f.tls.Config()
	}
	var err error
	f.Server, err = gearman.New(of, c, counts, stories, log)
	return f, err
}

// gearmanFunctions returns what the functions of the settings are.
func gearmanFunctions(cfg config.Config) map[string]gearman.Function {
	out := map[string]gearman.Function{}
	for name, class := range cfg.Gearman.Functions {
		i := slices.Index(cfg.Names.Classes, class)
		if i < 0 || cfg.RemovedClasses[i] {
			continue // it was checked; a class that is gone takes no new jobs
		}
		c := &cfg.Module.Classes[i]
		f := gearman.Function{Class: i, Name: class, Keyed: c.Effect == decision.Keyed, GiveUp: c.ClientTimeout, Worth: c.Value, Repeats: c.ClientTimeout}
		if f.Keyed {
			f.Repeats = c.DedupWindow
		}
		out[name] = f
	}
	return out
}

// applySettings puts new settings in force.
func (f *gearmanFront) applySettings(cfg config.Config) {
	f.Functions(gearmanFunctions(cfg))
	if f.tls == nil {
		return
	}
	g := cfg.Gearman
	if err := f.tls.Read(gearman.Certificates{Certificate: g.Certificate, Key: g.Key, Clients: g.Clients}); err != nil {
		f.log.WithError(err).Error("the certificates are not taken; the old ones are kept")
	}
}

// drain waits until no client's job is open, at most until the deadline.
func (f *gearmanFront) drain(by time.Time) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for time.Now().Before(by) && !f.Idle(by) {
		<-tick.C
	}
}
