// Command frosttide is a dispatcher: it takes jobs from clients and has them run by
// the workers that discovery lists.
//
// serve.go has the order in which a dispatcher starts, process.go its components and
// how they are connected, reload.go what a new configuration changes, and shutdown.go
// how it ends. peers.go, clusterevents.go and workflows.go connect it to a cluster. The
// sub-commands have a file each. Every decision is made in package decision.
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
	// Before all else, as a signal that is not notified of ends the process.
	s := signals{stop: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	os.Exit(execute(s, os.Args[1:]))
}

// signals are the signals that the process handles: those that stop it, and those that
// have it reload its configuration.
type signals struct{ stop, reloads chan os.Signal }

// errReported is the error of a command that has printed or logged what is wrong.
var errReported = errors.New("")

// execute runs a command and returns the exit status: 0 for success, 1 for a failure, 2
// for invalid arguments.
func execute(s signals, args []string) int {
	root := commands(s)
	root.SetArgs(args)
	cmd, err := root.ExecuteC()
	var wrong usageError
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errReported):
		return 1
	case errors.As(err, &wrong) || !cmd.HasParent() && isUsage(err):
		fmt.Fprintf(os.Stderr, "%s: %s (see %s --help)\n", cmd.CommandPath(), firstLine(err), cmd.CommandPath())
		return 2
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", cmd.CommandPath(), err)
	return 1
}

// usageError is a mistake in the arguments.
type usageError struct{ error }

// Unwrap returns the mistake.
func (e usageError) Unwrap() error { return e.error }

// isUsage reports whether an error is one of the cobra package about a command's name,
// for which it has no type.
func isUsage(err error) bool { return strings.HasPrefix(err.Error(), "unknown ") }

// firstLine returns the first line of an error.
func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
