// Package fakefleet plays discovery and small runners on loopback, so that a newcomer can see a dispatcher at work.
// The runners accept any job, work on it for a while and report it done.
//
// The demonstration of frosttide, the example program and the laboratory's measurements start one. A Fleet is safe for
// concurrent use; its owner closes it.
package fakefleet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// Fleet is discovery and its runners. Start makes it.
type Fleet struct {
	catalog *catalog
	servers []*http.Server
}

// Start opens the addresses: that of discovery, and one for each runner. Jobs are reported to the dispatcher's address,
// and each runs for as long as work says. It returns the error of an address that can't be opened.
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

// serve answers calls at an address until the fleet is closed.
func (f *Fleet) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fake fleet: %w", err)
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.catalog.log.WithError(err).Error("Fake fleet: a server has ended")
		}
	}()
	return nil
}

// ToggleDraining has a runner drain, by its number from 0, or takes it back into service.
func (f *Fleet) ToggleDraining(i int) { f.catalog.toggleDraining(i) }

// Close ends all servers at once.
func (f *Fleet) Close() {
	for _, s := range f.servers {
		s.Close()
	}
}
