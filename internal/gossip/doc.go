// Package gossip disseminates the newest configuration and the newest view to all processes of a
// system.
//
// Each process keeps a small random sample of the other processes, its partial view, and
// periodically exchanges a part of it with its oldest neighbor: peer sampling by shuffling, as in
// Cyclon (Voulgaris, Gavidia & van Steen 2005, "enhanced shuffling") and, in its general form,
// Jelasity et al. 2007, "Gossip-based Peer Sampling", section 2. Over that sample it runs epidemic
// dissemination (Demers et al. 1987, "Epidemic Algorithms for Replicated Database Maintenance"):
// rumor mongering spreads a new version at once (section 1.4 there), and anti-entropy, a periodic
// exchange of versions with a random neighbor (section 1.3), repairs the loss of messages. A rumor
// carries the version and digest of the configuration; a process that lacks that version pulls it
// as a delta.
//
// The processes of both planes (control members, gateways and agents) use the package. A process
// that is the source of a configuration or view announces it with SetConfig and SetView; all others
// read Config and View after each turn of their event loop.
//
// Invariants:
//   - The configuration's version and the view's epoch never decrease.
//   - A view that is not valid according to package view is neither adopted nor forwarded.
//   - A configuration from another process is adopted only if its digest equals the one that its
//     source computed.
//   - The partial view holds at most partialViewSize neighbors, never the process itself, and no
//     address twice.
//
// Machine is a pure state machine: it has no goroutines, clocks or sockets. It is not safe for
// concurrent use; its host calls it from one goroutine, passes in the time of a monotonic clock,
// and sends the messages that TakeSends returns. Equal seeds and equal calls lead to the same
// messages, except for the order of the items in a delta.
package gossip
