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

// gearmanPollInterval is the time between two looks at the open jobs during a drain.
const gearmanPollInterval = 10 * time.Millisecond

// backends implements core.Backends: it opens the backend of each worker over the
// platform's protocol, or on the connection by which a Gearman worker has come.
type backends struct {
	*egress.Fleet
	gearman *gearman.Server // nil without Gearman; set before the first Open
}

// Open implements core.Backends.
func (b *backends) Open(worker decision.WorkerID, uid, addr string) core.Backend {
	if b.gearman != nil && gearman.IsWorkerAddr(addr) {
		return b.gearman.Open(addr)
	}
	return b.Fleet.Open(worker, uid, addr)
}

// gearmanFront is the Gearman server with what a reload may change of it.
type gearmanFront struct {
	*gearman.Server
	tls *gearman.TLS // nil without TLS
	log *logrus.Entry
}

// openGearman opens the Gearman server. It fails for certificates that can't be read
// and an address that can't be opened.
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

// gearmanCertificates returns the files of the server's certificates.
func gearmanCertificates(cfg config.Config) gearman.Certificates {
	g := cfg.Gearman
	return gearman.Certificates{Certificate: g.Certificate, Key: g.Key, Clients: g.Clients}
}

// gearmanFunctions returns the functions of the settings by name, without those of
// classes that take no new jobs.
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

// applySettings puts a configuration in force. Certificates that can't be read leave
// the old ones in force.
func (f *gearmanFront) applySettings(cfg config.Config) {
	f.SetFunctions(gearmanFunctions(cfg))
	if f.tls == nil {
		return
	}
	if err := f.tls.Read(gearmanCertificates(cfg)); err != nil {
		f.log.WithError(err).Error("the certificates are not taken; the old ones are kept")
	}
}

// drain waits until no client's job is open, up to the deadline.
func (f *gearmanFront) drain(deadline time.Time) {
	tick := time.NewTicker(gearmanPollInterval)
	defer tick.Stop()
	for time.Now().Before(deadline) && !f.Idle(deadline) {
		<-tick.C
	}
}
