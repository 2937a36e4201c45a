// Command frosttide is a job dispatcher: it accepts jobs from clients over HTTP or Gearman and
// sends them to the workers that service discovery lists.
//
// serve.go implements the startup sequence, process.go creates and connects the components,
// reload.go applies a new configuration, and shutdown.go drains the process. peers.go,
// clusterevents.go and workflows.go connect the dispatcher to its cluster. Each sub-command has a
// file of its own. All scheduling decisions are made in package decision.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

func main() {
	// Register the handlers first: the default action of these signals terminates the process.
	s := signals{stop: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	os.Exit(execute(s, os.Args[1:]))
}

// signals delivers the signals that the process handles: SIGTERM and SIGINT on stop, and SIGHUP on
// reloads.
type signals struct{ stop, reloads chan os.Signal }

// errReported is returned by a command that has already printed or logged its error.
var errReported = errors.New("")

// execute runs a command and returns the exit status: 0 for success, 1 for a failure, 2
// for invalid arguments.
func execute(s signals, args []string) int {
	root := commands(s)
	root.SetArgs(args)
	cmd, err := root.ExecuteC()
	var usage usageError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errReported):
		return 1
	case errors.As(err, &usage) || !cmd.HasParent() && isUnknownCommand(err):
		fmt.Fprintf(os.Stderr, "%s: %s (see %s --help)\n", cmd.CommandPath(), firstLine(err), cmd.CommandPath())
		return 2
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.CommandPath(), err)
	return 1
}

// usageError marks an error as caused by invalid arguments, which exits with status 2.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

// isUnknownCommand reports whether cobra returned err for an unknown command or flag. Cobra has no
// error type for this, so the text is compared.
func isUnknownCommand(err error) bool { return strings.HasPrefix(err.Error(), "unknown ") }

// firstLine returns the first line of an error's text.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
