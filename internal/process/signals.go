package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// HandleSignals returns a context that is canceled at the first SIGTERM or SIGINT. A program calls
// it first: from then on, neither further SIGTERM or SIGINT signals nor SIGHUP terminate the
// program, whether or not anything else handles them.
func HandleSignals() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	// WatchSettings handles SIGHUP only while it runs.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	go func() {
		<-stop
		cancel()
	}()
	return ctx
}
