// Package server runs a member of the control plane on files, sockets and clocks, and serves the
// operator's API over HTTP. The command line of frosttide-control (package cli) calls Run, which
// returns after the member has been drained.
//
// # Goroutines
//
// The member (package member) is a pure state machine. It is used only on the event loop of its
// process (package process), which runs on the goroutine that called Run. All other goroutines post
// functions to the event loop:
//
//   - the links, with messages from other processes (package transport);
//   - the journal writer, with the results of writes to the disk;
//   - the handlers of the operator's API, one goroutine per call;
//   - the watcher of the settings file, with new addresses of the core machines;
//   - the goroutine that waits for the end of the context and then drains the member.
//
// Run waits for all goroutines that it has started, except for a journal write that the disk does
// not complete: a hanging disk must not keep the process from exiting.
//
// # Invariants
//
//   - The writes of a turn are queued for the disk before the messages of the turn are sent.
//   - After a failed write or sync, nothing is written to the journal until the member rewrites it
//     completely.
//   - A damaged journal is moved aside and the member joins under a new identity. It must not vote
//     under the old one, because the promises that it made under it are no longer known.
package server
