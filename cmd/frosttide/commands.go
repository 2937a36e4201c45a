package main

import (
	"cmp"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"frosttide/internal/dispatcher/config"
)

// commands returns the command tree. Without a sub-command the program runs a dispatcher that is
// configured by the environment only.
func commands(s signals) *cobra.Command {
	root := &cobra.Command{
		Use:   "frosttide",
		Short: "A dispatcher for render jobs",
		Long: `frosttide accepts jobs from clients over HTTP and dispatches them to runners. Without a
sub-command it runs a dispatcher configured by the environment (BALANCER_CONFIG and others).`,
		Example: `  BALANCER_CONFIG=config.json frosttide
  frosttide serve --config /etc/frosttide.toml
  frosttide check --config /etc/frosttide.toml
  frosttide trace summary traces.jsonl --by target`,
		Args:          noArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return serve(s, config.Source{Getenv: os.Getenv}) },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(serveCommand(s), checkCommand(), versionCommand(), traceCommand(), stateCommand(), clusterCommand(), demoCommand(s))
	return root
}

// noArgs rejects all arguments with a usageError.
func noArgs(cmd *cobra.Command, args []string) error {
	if err := cobra.NoArgs(cmd, args); err != nil {
		return usageError{err}
	}
	return nil
}

// exactArgs requires one argument for each name and rejects anything else with a usageError.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(_ *cobra.Command, args []string) error {
		if len(args) < len(names) {
			return usageError{fmt.Errorf("%s is missing", names[len(args)])}
		}
		if len(args) > len(names) {
			return usageError{fmt.Errorf("%q is one argument too many", args[len(names)])}
		}
		return nil
	}
}

// sourceFlags adds the flags that select the configuration source and override its log settings.
func sourceFlags(cmd *cobra.Command) *config.Source {
	src := &config.Source{Getenv: os.Getenv}
	f := cmd.Flags()
	f.StringVarP(&src.Path, "config", "c", "", "settings file, TOML (see deploy/frosttide.toml)")
	f.StringVar(&src.LogLevel, "log-level", "", "error, warn, info or debug; overrides all other sources")
	f.StringVar(&src.LogFormat, "log-format", "", "text or json; overrides all other sources")
	return src
}

// serveCommand returns the command that runs a dispatcher.
func serveCommand(s signals) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Dispatch jobs until SIGTERM",
		Long: `serve dispatches jobs until SIGTERM. The platform's JSON file at BALANCER_CONFIG overrides
the file given by --config, and the BALANCER_ variables override both.`,
		Example: `  frosttide serve --config /etc/frosttide.toml
  frosttide serve --config studio.toml --log-format json`,
		Args: noArgs,
	}
	src := sourceFlags(cmd)
	cmd.RunE = func(*cobra.Command, []string) error { return serve(s, *src) }
	return cmd
}

// checkCommand returns the command that validates a configuration and prints the effective values.
func checkCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the configuration and print the effective values",
		Long: `check reads the configuration as serve would and prints each key with its value and
source. All errors are reported together, one per line, with exit status 1.`,
		Example: `  frosttide check --config /etc/frosttide.toml`,
		Args:    noArgs,
	}
	src := sourceFlags(cmd)
	cmd.RunE = func(*cobra.Command, []string) error {
		_, values, err := config.Explain(*src)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return errReported
		}
		widest := 0
		for _, v := range values {
			widest = max(widest, len(v.Key)+len(v.Text))
		}
		for _, v := range values {
			fmt.Printf("%s = %s%*s# %s\n", v.Key, v.Text, widest-len(v.Key)-len(v.Text)+2, "", v.Source)
		}
		return nil
	}
	return cmd
}

// versionCommand returns the command that prints the version.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: `  frosttide version`,
		Args:    noArgs,
		Run:     func(*cobra.Command, []string) { fmt.Println("frosttide", version(), runtime.Version()) },
	}
}

// version returns the version from the build information: the module version, else the VCS
// revision, else "devel". It returns "unknown" if there is no build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := ""
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		return info.Main.Version
	}
	return cmp.Or(revision, "devel")
}
