// Package cli is the command line of the control plane's program: it serves, and it asks a running system
// for its state.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"frosttide/internal/nodefile"
)

// Exit statuses of the program.
const (
	ExitOK     = 0
	ExitFailed = 1 // what was asked for can't be done, or was refused
	ExitUsage  = 2 // the arguments can't be understood
)

// errUsage marks mistakes in arguments.
var errUsage = errors.New("usage")

// usageError returns an error for a mistake in arguments.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// command is a sub-command.
type command struct {
	name    string
	args    string
	summary string
	run     func(ctx context.Context, c *invocation) error
}

// invocation is one use of the program.
type invocation struct {
	args   []string
	out    io.Writer
	errOut io.Writer
}

// commands returns all sub-commands, in the order in which help tells of them.
func commands() []command {
	return []command{
		{"serve", "", "serves as a member of the control plane, by the file that " + nodefile.PathVariable + " names (the default)", serveCommand},
		{"demo", "[--keep DIR]", "starts a whole small system on loopback, runs jobs, and kills the head", demoCommand},
		{"status", "[--at ADDRESS] [--json]", "tells the view, the chain, the members, runners and what waits and why", statusCommand},
		{"jobs", "list|show ID|cancel ID [--at ADDRESS] [--json]", "tells of jobs, or cancels one", jobsCommand},
		{"runners", "[--at ADDRESS] [--json]", "tells of runners", runnersCommand},
		{"config", "get|put FILE|diff FILE|history [--at ADDRESS] [--if-match N]", "reads or changes the configuration", configCommand},
		{"check", "[--settings FILE] [--config FILE]", "checks a settings file and a configuration", checkCommand},
		{"snapshot", "save DIR FILE|verify FILE|restore FILE DIR", "keeps the state of a member's disk, looks at it, puts it back", snapshotCommand},
		{"version", "", "tells the version", versionCommand},
	}
}

// Main runs the program and returns its exit status.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		args = []string{"serve"}
	}
	c := &invocation{args: args[1:], out: out, errOut: errOut}
	if args[0] == "help" || args[0] == "-h" || args[0] == "--help" {
		printHelp(out)
		return ExitOK
	}
	all := commands()
	at := slices.IndexFunc(all, func(x command) bool { return x.name == args[0] })
	if at < 0 {
		fmt.Fprintf(errOut, "frosttide-control: there is no command %q; see frosttide-control help\n", args[0])
		return ExitUsage
	}
	err := all[at].run(ctx, c)
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errUsage):
		fmt.Fprintf(errOut, "frosttide-control %s: %v\nusage: frosttide-control %s %s\n", args[0], err, args[0], all[at].args)
		return ExitUsage
	default:
		fmt.Fprintf(errOut, "frosttide-control: %s\n", strings.ReplaceAll(err.Error(), "\n", "; "))
		return ExitFailed
	}
}

// printHelp answers a newcomer's first questions.
func printHelp(out io.Writer) {
	fmt.Fprint(out, `frosttide-control is the control plane of the cluster scheduler: it keeps the configuration and
the jobs on the disks of a few core machines, and says which runner does what.

To try it:          frosttide-control demo
To see what it does: frosttide-control status --at HOST:PORT   (a core machine's Control address)
Why a job waits:    frosttide-control jobs show ID --at HOST:PORT

Commands:
`)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, x := range commands() {
		fmt.Fprintf(table, "  %s %s\t%s\n", x.name, x.args, x.summary)
	}
	table.Flush()
	fmt.Fprintf(out, "\nExit status: %d done, %d refused or failed, %d arguments that can't be understood.\nWithout --at the address is that of %s, or of the settings file.\n", ExitOK, ExitFailed, ExitUsage, addressVariable)
}

// addressVariable is the environment variable that holds a core machine's address.
const addressVariable = "FROSTTIDE_CONTROL"

// coreAddress returns the core machine to ask.
func coreAddress(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	if at := os.Getenv(addressVariable); at != "" {
		return at, nil
	}
	if path, err := nodefile.Path(); err == nil {
		settings, err := nodefile.Read(path)
		if err != nil {
			return "", err
		}
		if len(settings.Seeds) > 0 {
			return settings.Seeds[0], nil
		}
	}
	return "", usageError("no address: give --at, or set %s", addressVariable)
}

// parseFlags reads flags that may stand before or after the other arguments, and returns those.
func (c *invocation) parseFlags(name string, define func(*flag.FlagSet)) ([]string, error) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	define(flags)
	var rest []string
	args := c.args
	for len(args) > 0 {
		if err := flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageError("%v", err)
		}
		args = flags.Args()
		if len(args) > 0 {
			rest = append(rest, args[0])
			args = args[1:]
		}
	}
	return rest, nil
}
