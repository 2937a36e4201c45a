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

// Exit statuses of the program. Operators' scripts rely on them.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command failed or its request was refused
	ExitUsage  = 2 // the arguments are invalid
)

// errUsage marks errors caused by invalid arguments, for which Main prints the usage.
var errUsage = errors.New("usage")

// usageError returns an error that is marked with errUsage.
func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

// command describes a subcommand of the program.
type command struct {
	name    string
	args    string // synopsis of the arguments for usage and help
	summary string // one line for the help
	run     func(ctx context.Context, c *invocation) error
}

// commands returns all subcommands, in the order in which the help lists them.
func commands() []command {
	return []command{
		{
			name: "serve", run: serveCommand,
			summary: "runs a member of the control plane with the settings file in " + nodefile.PathVariable + " (the default)",
		},
		{
			name: "demo", args: "[--keep DIR]", run: demoCommand,
			summary: "starts a small system on the loopback interface, runs jobs and kills the head",
		},
		{
			name: "status", args: "[--at ADDRESS] [--json]", run: statusCommand,
			summary: "shows the view, the chain, the members, the runners, and which steps wait and why",
		},
		{
			name: "jobs", args: "list|show ID|cancel ID [--at ADDRESS] [--json]", run: jobsCommand,
			summary: "lists jobs, or shows or cancels one",
		},
		{
			name: "runners", args: "[--at ADDRESS] [--json]", run: runnersCommand,
			summary: "lists the runners",
		},
		{
			name: "config", args: "get|put FILE|diff FILE|history [--at ADDRESS] [--if-match N]", run: configCommand,
			summary: "shows, replaces or compares the configuration",
		},
		{
			name: "check", args: "[--settings FILE] [--config FILE]", run: checkCommand,
			summary: "checks a settings file, a configuration file or both",
		},
		{
			name: "snapshot", args: "save DIR FILE|verify FILE|restore FILE DIR", run: snapshotCommand,
			summary: "saves the state of a member's disk to a file, verifies or restores it",
		},
		{
			name: "version", run: versionCommand,
			summary: "prints the version",
		},
	}
}

// Main runs the command that args name and returns the exit status of the program. args do not
// include the program's name. Results are written to out, errors and usage to errOut.
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

// printHelp prints the purpose of the program, examples and a summary of all commands.
func printHelp(out io.Writer) {
	fmt.Fprint(out, `frosttide-control is the control plane of the cluster scheduler: it stores the configuration and
the jobs on the disks of a few core machines, and assigns tasks to runners.

To try it:              frosttide-control demo
To see its state:       frosttide-control status --at HOST:PORT   (a core machine's Control address)
To see why a job waits: frosttide-control jobs show ID --at HOST:PORT

Commands:
`)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		fmt.Fprintf(table, "  %s %s\t%s\n", c.name, c.args, c.summary)
	}
	table.Flush()
	fmt.Fprintf(out, "\nExit status: %d success, %d refused or failed, %d invalid arguments.\nWithout --at the address is taken from %s, or else from the settings file.\n", ExitOK, ExitFailed, ExitUsage, addressVariable)
}
