package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"
)

// versionCommand prints the version that the program was built from.
func versionCommand(_ context.Context, c *invocation) error {
	rest, err := c.parseFlags("version", func(*flag.FlagSet) {})
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return usageError("it takes no arguments")
	}
	fmt.Fprintln(c.out, "frosttide-control", buildVersion())
	return nil
}

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
