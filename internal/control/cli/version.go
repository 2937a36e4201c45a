package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
)

// versionCommand prints the version of the program.
func versionCommand(_ context.Context, c *invocation) error {
	rest, err := c.parseFlags("version", func(*flag.FlagSet) {})
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usageError("the command takes no arguments")
	}
	fmt.Fprintln(c.out, "frosttide-control", buildVersion())
	return nil
}

// buildVersion returns the version of the main module and the revision that the program was built
// from, or "unknown" if the program has no build information.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}
