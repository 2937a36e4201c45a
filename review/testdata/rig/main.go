package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// cases holds the cases by name. Each returns what broke the rule, or an empty string if it held.
var cases = map[string]func(*rig) string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(c func(*rig) string, recordPath string) (code int) {
	rec, err := openRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	r := &rig{record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.close()
	defer func() {
		if failure := recover(); failure != nil {
			notRun, ok := failure.(notRunError)
			if !ok {
				panic(failure)
			}
			rec.logf("NOT RUN: %v", notRun)
			code = exitNotRun
		}
	}()
	time.AfterFunc(maxTime, func() {
		rec.logf("NOT RUN: the case takes too long")
		r.close()
		os.Exit(exitNotRun)
	})
	if broken := c(r); broken != "" {
		rec.logf("BROKEN: %s", broken)
		return exitBroken
	}
	rec.logf("HELD")
	return exitHeld
}

// notRunError tells why a case couldn't run.
type notRunError string

// require ends a case that can't run.
func require(ok bool, format string, args ...any) {
	if !ok {
		panic(notRunError(fmt.Sprintf(format, args...)))
	}
}
