// Package process is the runtime that every process of the cluster scheduler shares: its settings, its transport, its
// clocks, and the event loop, the one goroutine on which all its state machines run.
//
// The servers of both planes (control/server, data/gateway, data/agent) make a Process with New, begin WatchSettings, and
// give their own goroutine to Run until their context ends; then they call Close.
//
// Invariants:
//   - events run one after the other, in the order in which they were posted, so that state machines need no locks;
//   - Post and Send never block, so that they may be called on the event loop as well;
//   - a message to the process's own address is an event like any other, handled after the current one;
//   - a settings file that cannot be used changes nothing.
//
// Post, Send, Now and WallMs are safe for concurrent use. Settings is replaced on the event loop alone, and is read there
// once Run has begun.
package process
