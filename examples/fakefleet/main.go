// Command fakefleet runs package fakefleet by itself. SIGUSR1 drains the second runner or
// brings it back, which discovery tells at once.
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
	discovery := flag.String("discovery", "127.0.0.1:8500", "address to serve the list at")
	dispatcher := flag.String("dispatcher", "127.0.0.1:8081", "where the dispatcher takes call-backs")
	work := flag.Duration("work", time.Second, "how long a job runs")
	flag.Parse()
	usr := make(chan os.Signal, 1)
	signal.Notify(usr, syscall.SIGUSR1)
	f, err := fakefleet.Start(*discovery, *dispatcher, []string{"127.0.0.1:9101", "127.0.0.1:9102"}, *work, logrus.StandardLogger())
	if err != nil {
		logrus.WithError(err).Fatal("toy fleet ends")
	}
	logrus.WithField("discovery", *discovery).Info("toy fleet serves")
	for range usr {
		f.ToggleDraining(1)
	}
}
