// Package metrics shows the state of a control plane to Prometheus. The program frosttide-exporter registers its Collector,
// which asks the members' API (package apiclient) at each scrape, so that the members themselves need no metrics library.
//
// A scrape reports for every member whether it answers, what it knows of the view, and its disk. What concerns the
// placement role is reported once, from the first member that knows it, and is missing while none does: a gap in these
// series means that no member had an answer from a head. A Collector is safe for concurrent use.
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

// Collector is a prometheus.Collector that asks the members of a control plane.
type Collector struct {
	members []string // addresses of their API, host:port
}

// NewCollector returns a collector that asks the members at the given addresses of their API, host:port.
func NewCollector(members []string) *Collector { return &Collector{members: members} }

// Describe is part of prometheus.Collector.
func (c *Collector) Describe(out chan<- *prometheus.Desc) {
	for _, f := range families {
		out <- f.desc
	}
}

// Collect is part of prometheus.Collector. It asks all members at once for their own state, and then one after the other
// for the placement role's state until one of them knows it.
func (c *Collector) Collect(out chan<- prometheus.Metric) {
	s := scrape{out}
	var members sync.WaitGroup
	for _, address := range c.members {
		members.Go(func() { s.member(address) })
	}
	members.Wait()
	for _, address := range c.members {
		var status scheduler.Status
		if _, err := apiclient.Get(context.Background(), address, "/v1/scheduler", &status); err != nil {
			klog.V(1).InfoS("Placement role's state can't be read", "member", address, "err", err)
			continue
		}
		s.placement(&status)
		return
	}
}

// member asks a member and reports its own state.
func (s scrape) member(address string) {
	var status replica.Status
	if _, err := apiclient.Get(context.Background(), address, "/v1/status", &status); err != nil {
		klog.V(1).InfoS("Member's state can't be read", "member", address, "err", err)
		s.put(memberUp, 0, address)
		return
	}
	s.put(memberUp, 1, address)
	s.put(viewEpoch, float64(status.View.GetEpoch()), address)
	s.put(voterCount, float64(len(status.View.GetVoters())), address)
	s.put(chainLength, float64(len(status.View.GetChain())), address)
	s.put(memberServing, boolValue(status.Serving), address)
	s.put(newestEntry, float64(status.Index), address)
	s.put(committedEntry, float64(status.Committed), address)
	s.put(diskLag, float64(status.DiskLagMs)*millisecond, address)
	s.put(diskFailed, boolValue(status.DiskFailed), address)
}
