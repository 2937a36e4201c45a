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

// commands returns the tree of commands. Without a sub-command the program serves, with
// the settings of the platform's environment.
func commands(s signals) *cobra.Command {
	root := &cobra.Command{
		Use:   "frosttide",
		Short: "A dispatcher for render jobs",
		Long: `frosttide takes jobs from clients over HTTP and has them run by runners. Without a
sub-command it serves as the environment says (BALANCER_CONFIG and others).`,
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

// exactly requires as many arguments as there are names, and fails with a usageError.
func exactly(names ...string) cobra.PositionalArgs {
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

// sourceFlags adds the flags that say where the configuration comes from.
func sourceFlags(cmd *cobra.Command) *config.Source {
	src := &config.Source{Getenv: os.Getenv}
	f := cmd.Flags()
	f.StringVarP(&src.Path, "config", "c", "", "settings file, TOML (see deploy/frosttide.toml)")
	f.StringVar(&src.LogLevel, "log-level", "", "error, warn, info or debug; goes before all other places")
	f.StringVar(&src.LogFormat, "log-format", "", "text or json; goes before all other places")
	return src
}

// serveCommand returns the command that runs a dispatcher.
func serveCommand(s signals) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Dispatch jobs until SIGTERM",
		Long: `serve dispatches jobs until SIGTERM. What the file of --config says, the platform's JSON
file at BALANCER_CONFIG says louder, and the BALANCER_ variables louder still.`,
		Example: `  frosttide serve --config /etc/frosttide.toml
  frosttide serve --config studio.toml --log-format json`,
		Args: noArgs,
	}
	src := sourceFlags(cmd)
	cmd.RunE = func(*cobra.Command, []string) error { return serve(s, *src) }
	return cmd
}

// checkCommand returns the command that checks and prints a configuration.
func checkCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check the configuration and print what is in force",
		Long: `check reads the configuration as serve would and prints each key with its value and
where it comes from. Mistakes are told all at once, one to a line, with exit status 1.`,
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

// version returns the program's version as the build recorded it: the module's version,
// else the revision, else "devel"; "unknown" without build information.
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
