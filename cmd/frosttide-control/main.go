// Command frosttide-control is the control plane of the cluster scheduler: it runs on the core machines.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"frosttide/internal/control/host"
	"frosttide/internal/nodefile"
)

func main() {
	klog.InitFlags(nil)
	flag.Parse()
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "frosttide-control:", err)
		os.Exit(1)
	}
}

func run() error {
	path, err := nodefile.Path()
	if err != nil {
		return err
	}
	settings, err := nodefile.Read(path)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return host.Run(ctx, path, settings)
}
