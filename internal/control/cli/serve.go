package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"k8s.io/klog/v2"

	"frosttide/internal/control/server"
	"frosttide/internal/nodefile"
)

// serveCommand runs a member of the control plane.
func serveCommand(ctx context.Context, c *invocation) error {
	rest, err := c.parseFlags("serve", func(f *flag.FlagSet) { klog.InitFlags(f) })
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usageError("it takes flags only")
	}
	path, err := nodefile.Path()
	if err != nil {
		return err
	}
	settings, err := nodefile.Read(path)
	if err != nil {
		return err
	}
	return server.Run(ctx, path, settings)
}

// versionCommand tells the version that the program was built from.
func versionCommand(_ context.Context, c *invocation) error {
	rest, err := c.parseFlags("version", func(*flag.FlagSet) {})
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usageError("it takes no arguments")
	}
	name := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		name = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				name += " " + s.Value
			}
		}
	}
	fmt.Fprintln(c.out, "frosttide-control", name)
	return nil
}
