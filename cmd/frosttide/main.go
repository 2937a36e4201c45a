// Command frosttide is a dispatcher: it takes jobs from clients and has them run
// by the runners that discovery lists. The files of this folder wire its parts
// together, a file for each sub-command; every decision is the module's.
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
	// Notified before all else: a signal that nobody heeds ends the process.
	s := signals{stop: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reloads, syscall.SIGHUP)
	os.Exit(execute(s, os.Args[1:]))
}

// signals are what the process is told from outside.
type signals struct{ stop, reloads chan os.Signal }

// errReported is the error of a command that has said itself what is wrong.
var errReported = errors.New("")

// execute runs a command and returns the exit status: 0 for done, 1 for what went
// wrong, 2 for arguments that can't be meant.
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

func (e usageError) Unwrap() error { return e.error }

// isUsage tells whether an error is one of the library's own about a command's name,
// which it gives no type.
func isUsage(err error) bool { return strings.HasPrefix(err.Error(), "unknown ") }

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}
