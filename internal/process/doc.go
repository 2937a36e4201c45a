// Package process is the runtime that all processes of the cluster scheduler share: settings,
// transport, clocks, and the event loop, the single goroutine on which a process's state machines
// run.
//
// The servers of both planes (control/server, data/gateway, data/agent) create a Process with New
// and call Serve, which starts WatchSettings and executes Run on the caller's goroutine until the
// context ends and the role is drained; then they call Close.
//
// Invariants:
//   - Events run one at a time, in the order in which they were posted, so that state machines need
//     no locks.
//   - Post and Send never block, so that they may also be called on the event loop.
//   - A message to the process's own address is an ordinary event, handled after the current one.
//   - A settings file that cannot be read or is invalid leaves the settings unchanged.
//
// Post, Send, Now and WallMs are safe for concurrent use. Settings is replaced only on the event
// loop, and may be read only there once Run has started.
package process
