// Package metrics exports the state of a control plane to Prometheus. The program
// frosttide-exporter registers a Collector, which queries the members' API (package apiclient) at
// each scrape, so that the members themselves need no metrics library.
//
// A scrape reports for every member whether it responds, its view, its position in the log and the
// state of its disk. The state of the placement role is reported once, from the first member that
// can read it, and is omitted if none can: a gap in these series means that no member got a reply
// from a head. A Collector is safe for concurrent use.
package metrics

import (
	"context"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"k8s.io/klog/v2"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
)

// Collector is a prometheus.Collector that queries the members of a control plane.
type Collector struct {
	members []string // addresses of the members' API, host:port
}

// NewCollector returns a collector that queries the members whose API is at the given addresses,
// each of the form host:port.
func NewCollector(members []string) *Collector { return &Collector{members: members} }

// Describe implements prometheus.Collector.
func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	for _, f := range families {
		out <- f.desc
	}
}

// Collect implements prometheus.Collector. It queries the status of all members concurrently, and
// then the state of the placement role from one member after the other until one returns it.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	s := scrape{out}
	var queries sync.WaitGroup
	for _, address := range c.members {
		queries.Go(func() { s.collectMember(address) })
	}
	queries.Wait()
	for _, address := range c.members {
		var status scheduler.Status
		if _, err := apiclient.Get(context.Background(), address, "/v1/scheduler", &status); err != nil {
			klog.V(1).InfoS("Failed to read the state of the placement role", "member", address, "err", err)
			continue
		}
		s.collectPlacement(&status)
		return
	}
}

// collectMember queries the member at address and reports its status. If the member does not
// respond, only memberUp is reported, with the value 0.
func (s scrape) collectMember(address string) {
	var status replica.Status
	if _, err := apiclient.Get(context.Background(), address, "/v1/status", &status); err != nil {
		klog.V(1).InfoS("Failed to read the status of the member", "member", address, "err", err)
		s.emit(memberUp, 0, address)
		return
	}
	s.emit(memberUp, 1, address)
	s.emit(viewEpoch, float64(status.View.GetEpoch()), address)
	s.emit(voterCount, float64(len(status.View.GetVoters())), address)
	s.emit(chainLength, float64(len(status.View.GetChain())), address)
	s.emit(memberServing, boolValue(status.Serving), address)
	s.emit(newestEntry, float64(status.Index), address)
	s.emit(committedEntry, float64(status.Committed), address)
	s.emit(diskLag, float64(status.DiskLagMs)*millisecond, address)
	s.emit(diskFailed, boolValue(status.DiskFailed), address)
}
