// Command frosttide-data is the data plane of the cluster scheduler. Its argument selects the role:
// a "carrier" accepts clients' jobs on an edge machine (package gateway), and a "companion" answers
// the heartbeats of the runner on its machine (package agent). All other settings come from the
// settings file that the environment variable FROSTTIDE_NODE_FILE names.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"k8s.io/klog/v2"

	"frosttide/internal/data/agent"
	"frosttide/internal/data/gateway"
	"frosttide/internal/nodefile"
	"frosttide/internal/process"
)

// Exit statuses.
const (
	exitFailed = 1
	exitUsage  = 2
)

// role runs a process with settings that were read from the file at path, until the context ends.
type role func(ctx context.Context, path string, settings *nodefile.File) error

// roles maps the command line's role names to their implementations.
var roles = map[string]role{
	"carrier":   gateway.Run,
	"companion": agent.Run,
}

func main() {
	ctx := process.HandleSignals()
	klog.InitFlags(nil)
	flag.Usage = func() {
		fmt.Fprintln(flag.CommandLine.Output(), "usage: frosttide-data [flags] carrier|companion")
		flag.PrintDefaults()
	}
	flag.Parse()
	runRole := roles[flag.Arg(0)]
	if runRole == nil || flag.NArg() != 1 {
		flag.Usage()
		os.Exit(exitUsage)
	}
	if err := run(ctx, runRole); err != nil {
		fmt.Fprintln(os.Stderr, "frosttide-data:", err)
		os.Exit(exitFailed)
	}
}

// run reads the settings file and runs a role until the context ends.
func run(ctx context.Context, runRole role) error {
	path, err := nodefile.Path()
	if err != nil {
		return err
	}
	settings, err := nodefile.Read(path)
	if err != nil {
		return err
	}
	return runRole(ctx, path, settings)
}
