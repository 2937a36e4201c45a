// Command fakefleet runs package fakefleet, a discovery service with two fake runners on loopback,
// as a process of its own. SIGUSR1 toggles the draining state of the second runner, which discovery
// publishes at once.
package main

import (
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"frosttide/internal/testkit/fakefleet"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "address at which discovery serves the runner list")
	dispatcher := flag.String("dispatcher", "127.0.0.1:8081", "address at which the dispatcher accepts callbacks")
	work := flag.Duration("work", time.Second, "run time of a job")
	flag.Parse()
	usr := make(chan os.Signal, 1)
	signal.Notify(usr, syscall.SIGUSR1)
	f, err := fakefleet.Start(*discovery, *dispatcher, []string{"127.0.0.1:9101", "127.0.0.1:9102"}, *work, logrus.StandardLogger())
	if err != nil {
		logrus.WithError(err).Fatal("fake fleet failed to start")
	}
	logrus.WithField("discovery", *discovery).Info("fake fleet is serving")
	for range usr {
		f.ToggleDraining(1)
	}
}
