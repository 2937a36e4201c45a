// Command frosttide-data is the data plane of the cluster scheduler: "carrier" takes clients' jobs on
// edge machines, "companion" answers the heartbeats of the runner on its machine.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"frosttide/internal/data/agent"
	"frosttide/internal/data/gateway"
	"frosttide/internal/nodefile"
)

// roles are what the program can be.
var roles = map[string]func(ctx context.Context, path string, settings *nodefile.File) error{
	"carrier":   gateway.Run,
	"companion": agent.Run,
}

// exitUsage is the exit status after mistakes in arguments.
const exitUsage = 2

func main() {
	klog.InitFlags(nil)
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: frosttide-data [flags] carrier|companion")
		flag.PrintDefaults()
	}
	flag.Parse()
	role := roles[flag.Arg(0)]
	if role == nil || flag.NArg() != 1 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	if err := run(role); err != nil {
		fmt.Fprintln(os.Stderr, "frosttide-data:", err)
		os.Exit(1)
	}
}

func run(role func(ctx context.Context, path string, settings *nodefile.File) error) error {
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
	return role(ctx, path, settings)
}
