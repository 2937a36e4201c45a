// Package fakefleet runs a fake service discovery and fake runners, so that a dispatcher can be
// tried out without a real fleet. The runners accept every job, sleep for a fixed time and report
// the job as done.
//
// It is used by "frosttide demo", examples/fakefleet and the measurements of frosttide-lab. A Fleet
// is safe for concurrent use. Its owner must call Close.
package fakefleet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// Fleet is a running discovery service and its runners.
type Fleet struct {
	catalog *catalog
	servers []*http.Server
}

// Start listens on the address of discovery and on one address (host:port) per runner. The runners
// send job events to the dispatcher's address; each job takes the time in work. It returns an error
// if an address can't be listened on.
func Start(discovery, dispatcher string, runners []string, work time.Duration, log logrus.FieldLogger) (*Fleet, error) {
	f := &Fleet{catalog: &catalog{log: log, changed: make(chan struct{})}}
	for i, addr := range runners {
		r := &runner{uid: fmt.Sprintf("s-toy%d", i+1), dispatcher: dispatcher, work: work, log: log, recalled: map[string]bool{}}
		f.catalog.runners = append(f.catalog.runners, listedRunner{UID: r.uid, Endpoint: addr, Zone: "studio", Kind: "toy",
			State: serving, Weight: 1})
		if err := f.serve(addr, r); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.serve(discovery, f.catalog); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// serve starts an HTTP server at an address, which runs until the fleet is closed.
func (f *Fleet) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fake fleet: %w", err)
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.catalog.log.WithError(err).Error("Fake fleet: HTTP server failed")
		}
	}()
	return nil
}

// ToggleDraining switches a runner between serving and draining in the list of discovery. The
// runner is given by its index in the addresses that were passed to Start.
func (f *Fleet) ToggleDraining(i int) { f.catalog.toggleDraining(i) }

// Close closes all servers at once, without waiting for open requests.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		s.Close()
	}
}
