// Command rig-2 plays one case of the second independent review: it starts the programs of the deploy file as
// separate processes on loopback addresses, plays the operator, the clients, the platform and the runners as the
// pages describe them, and writes what was sent, answered and run to record.txt in the folder of the case.
//
// Usage, from the root of the repository: rig-2 CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held and
// 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// limit bounds a case.
const limit = 110 * time.Second

// world is everything that a case uses.
type world struct {
	trouble bool
	dir     string // temporary folder of the processes
	begun   time.Time

	mu     sync.Mutex
	record *os.File

	cluster *cluster
	runners []*runner
	tasks   *taskTable
}

// cannotRun is the panic value of a case that can't run.
type cannotRun string

// stop ends a case that can't run.
func stop(format string, args ...any) { panic(cannotRun(fmt.Sprintf(format, args...))) }

// now returns the time since the start of the case.
func (w *world) now() time.Duration { return time.Since(w.begun) }

// log adds a line to record.txt.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(run()) }

func run() (status int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		return failed
	}
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer record.Close()
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, begun: time.Now(), record: record, tasks: newTaskTable()}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	result := make(chan int, 1)
	go func() {
		defer func() {
			switch p := recover().(type) {
			case nil:
			case cannotRun:
				w.log("the case can't run: %s", string(p))
				result <- failed
			default:
				w.log("the case can't run: %v", p)
				result <- failed
			}
		}()
		w.log("case %s, disruption: %v", os.Args[1], w.trouble)
		if cases[os.Args[1]](w) {
			result <- broken
			return
		}
		result <- held
	}()
	select {
	case status = <-result:
	case <-time.After(limit):
		w.log("the case can't run: it takes too long")
		status = failed
	case <-signals:
		status = failed
	}
	if w.cluster != nil {
		if name := w.cluster.endedByItself(); name != "" {
			w.log("a process ended by itself: %s", name)
		}
	}
	w.log("exit status %d", status)
	fmt.Printf("%s: status %d (0 held, 1 broken, 2 could not run)\n", os.Args[1], status)
	return status
}

// close ends everything that the case has started.
func (w *world) close() {
	for _, r := range w.runners {
		r.close()
	}
	if w.cluster != nil {
		w.cluster.close()
	}
}
