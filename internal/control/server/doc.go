// Package server runs a member of the control plane on files, sockets and clocks, and serves the operator's API. The
// command line of frosttide-control (package cli) calls Run, which returns once the member has been drained.
//
// # Goroutines
//
// The member (package member) is a pure state machine. It is used only on the goroutine of its process (package
// process), which Run is. Everything else posts functions to that goroutine:
//
//   - the links, with the messages of other processes (package transport);
//   - the journal writer, with the ends of writes to the disk;
//   - the handlers of the operator's API, one goroutine for each call;
//   - the watch of the settings file, which replaces the addresses of the core machines;
//   - the goroutine that waits for the context's end and then begins to drain.
//
// Run waits for the end of all that it has started itself, except for a write that the disk does not finish: a
// disk that hangs must not keep the process from ending.
//
// # Invariants
//
//   - The writes of a turn are queued for the disk before its messages are sent.
//   - After a failed write or sync nothing more is written to the journal until the member rewrites it as a whole.
//   - A damaged journal is put aside, and the member joins under a new identity: what the old one had promised is
//     not known any more, so it must not vote again.
package server
