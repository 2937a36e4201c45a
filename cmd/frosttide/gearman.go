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

// gearmanPollInterval is the interval at which a drain checks for open jobs.
const gearmanPollInterval = 10 * time.Millisecond

// backends implements core.Backends: it reaches a Gearman worker over the connection that the
// worker opened, and any other worker over the platform's HTTP protocol.
type backends struct {
	*egress.Fleet
	gearman *gearman.Server // nil without Gearman; set before the first Open
}

// Open implements core.Backends. addr determines the protocol.
func (b *backends) Open(worker decision.WorkerID, uid, addr string) core.Backend {
	if b.gearman != nil && gearman.IsWorkerAddr(addr) {
		return b.gearman.Open(addr)
	}
	return b.Fleet.Open(worker, uid, addr)
}

// gearmanFront is the Gearman server with its reloadable TLS certificates.
type gearmanFront struct {
	*gearman.Server
	tls *gearman.TLS // nil without TLS
	log *logrus.Entry
}

// openGearman opens the Gearman server. It fails if the certificates can't be read or the address
// can't be opened.
func openGearman(cfg config.Config, c *core.Core, counts *telemetry.Counts, exporter *export.Exporter, log *logrus.Entry) (*gearmanFront, error) {
	f := &gearmanFront{log: log}
	g := cfg.Gearman
	serverConfig := gearman.Config{
		Listen:         g.Listen,
		Functions:      gearmanFunctions(cfg),
		Zone:           max(slices.Index(cfg.Names.Zones, g.Zone), 0),
		Kind:           max(slices.Index(cfg.Names.Kinds, g.Kind), 0),
		ZoneName:       g.Zone,
		MaxConnections: int(g.Connections),
		MaxJobs:        int(g.Jobs),
		MaxPacketBytes: int(g.Packet),
	}
	if g.Certificate != "" {
		f.tls = &gearman.TLS{}
		if err := f.tls.Read(gearmanCertificates(cfg)); err != nil {
			return nil, err
		}
		serverConfig.TLS = f.tls.Config()
	}
	var err error
	f.Server, err = gearman.New(serverConfig, c, counts, exporter, log)
	return f, err
}

// gearmanCertificates returns the paths of the server's key and certificates.
func gearmanCertificates(cfg config.Config) gearman.Certificates {
	g := cfg.Gearman
	return gearman.Certificates{Certificate: g.Certificate, Key: g.Key, Clients: g.Clients}
}

// gearmanFunctions returns the configured functions by name. Functions of removed classes, which
// accept no new jobs, are left out.
func gearmanFunctions(cfg config.Config) map[string]gearman.Function {
	functions := map[string]gearman.Function{}
	for name, class := range cfg.Gearman.Functions {
		i := slices.Index(cfg.Names.Classes, class)
		if i < 0 || cfg.RemovedClasses[i] {
			continue
		}
		c := &cfg.Module.Classes[i]
		f := gearman.Function{
			Class:       i,
			Name:        class,
			Keyed:       c.Effect == decision.Keyed,
			Timeout:     c.ClientTimeout,
			Value:       c.Value,
			RetryWindow: c.ClientTimeout,
		}
		if f.Keyed {
			f.RetryWindow = c.DedupWindow
		}
		functions[name] = f
	}
	return functions
}

// applySettings applies a configuration. If the new certificates can't be read, the previous ones
// stay in force.
func (f *gearmanFront) applySettings(cfg config.Config) {
	f.SetFunctions(gearmanFunctions(cfg))
	if f.tls == nil {
		return
	}
	if err := f.tls.Read(gearmanCertificates(cfg)); err != nil {
		f.log.WithError(err).Error("failed to reload the certificates; the previous ones stay in force")
	}
}

// drain waits until no job of a client is open, or until the deadline.
func (f *gearmanFront) drain(deadline time.Time) {
	tick := time.NewTicker(gearmanPollInterval)
	defer tick.Stop()
	for time.Now().Before(deadline) && !f.Idle(deadline) {
		<-tick.C
	}
}
