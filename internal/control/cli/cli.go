package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"frosttide/internal/nodefile"
)

// Exit statuses of the program.
const (
	ExitOK     = 0
	ExitFailed = 1 // what was asked for failed or was refused
	ExitUsage  = 2 // the arguments are wrong
)

// errUsage marks mistakes in arguments.
var errUsage = errors.New("usage")

// usageError returns an error for a mistake in arguments.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// command is a sub-command of the program.
type command struct {
	name    string
	args    string // as usage and help show them
	summary string
	run     func(ctx context.Context, c *invocation) error
}

// commands returns all sub-commands in the order of the help.
func commands() []command {
	return []command{
		{
			name: "serve", run: serveCommand,
			summary: "serves as a member of the control plane, by the file that " + nodefile.PathVariable + " names (the default)",
		},
		{
			name: "demo", args: "[--keep DIR]", run: demoCommand,
			summary: "starts a whole small system on loopback, runs jobs, and kills the head",
		},
		{
			name: "status", args: "[--at ADDRESS] [--json]", run: statusCommand,
			summary: "tells the view, the chain, the members, runners and what waits and why",
		},
		{
			name: "jobs", args: "list|show ID|cancel ID [--at ADDRESS] [--json]", run: jobsCommand,
			summary: "tells of jobs, or cancels one",
		},
		{
			name: "runners", args: "[--at ADDRESS] [--json]", run: runnersCommand,
			summary: "tells of runners",
		},
		{
			name: "config", args: "get|put FILE|diff FILE|history [--at ADDRESS] [--if-match N]", run: configCommand,
			summary: "reads or changes the configuration",
		},
		{
			name: "check", args: "[--settings FILE] [--config FILE]", run: checkCommand,
			summary: "checks a settings file and a configuration",
		},
		{
			name: "snapshot", args: "save DIR FILE|verify FILE|restore FILE DIR", run: snapshotCommand,
			summary: "keeps the state of a member's disk, looks at it, puts it back",
		},
		{
			name: "version", run: versionCommand,
			summary: "tells the version",
		},
	}
}

// Main runs the program with its arguments, without the program's name, and returns its exit status.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		args = []string{"serve"}
	}
	name := args[0]
	if name == "help" || name == "-h" || name == "--help" {
		printHelp(out)
		return ExitOK
	}
	all := commands()
	index := slices.IndexFunc(all, func(c command) bool { return c.name == name })
	if index < 0 {
		fmt.Fprintf(errOut, "frosttide-control: there is no command %q; see frosttide-control help\n", name)
		return ExitUsage
	}
	err := all[index].run(ctx, &invocation{args: args[1:], out: out, errOut: errOut})
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errUsage):
		fmt.Fprintf(errOut, "frosttide-control %s: %v\nusage: frosttide-control %s %s\n", name, err, name, all[index].args)
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
	for _, c := range commands() {
		fmt.Fprintf(table, "  %s %s\t%s\n", c.name, c.args, c.summary)
	}
	table.Flush()
	fmt.Fprintf(out, "\nExit status: %d done, %d refused or failed, %d arguments that can't be understood.\nWithout --at the address is that of %s, or of the settings file.\n", ExitOK, ExitFailed, ExitUsage, addressVariable)
}
