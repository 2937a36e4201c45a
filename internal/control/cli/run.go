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

// serve runs a member of the control plane.
func serve(ctx context.Context, c *call) error {
	rest, err := c.parse("serve", func(f *flag.FlagSet) { klog.InitFlags(f) })
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usage("it takes flags only")
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

// version tells the version that the program was built from.
func version(_ context.Context, c *call) error {
	rest, err := c.parse("version", func(*flag.FlagSet) {})
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usage("it takes no arguments")
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
