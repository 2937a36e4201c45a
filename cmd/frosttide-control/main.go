// Command frosttide-control is the control plane of the cluster scheduler. It runs on the core machines, and shows
// operators the state of a running system (package cli).
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"frosttide/internal/control/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(cli.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
