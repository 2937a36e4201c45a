// Package gossip disseminates the newest configuration and the newest view to all processes of a system.
//
// Each process keeps a small random sample of the others, its partial view, and exchanges a part of it with the
// neighbor that it has known for longest: peer sampling by shuffling, as in Cyclon (Voulgaris, Gavidia & van Steen
// 2005, "enhanced shuffling") and, in its general form, Jelasity et al. 2007, "Gossip-based Peer Sampling", section 2. Over
// that sample it runs epidemic dissemination (Demers et al. 1987, "Epidemic Algorithms for Replicated Database
// Maintenance"): rumor mongering spreads something new at once (section 1.4 there), and a periodic exchange of
// versions with a random neighbor, anti-entropy (section 1.3), repairs whatever was lost on the way. A rumor carries
// versions and a digest; the configuration itself is pulled as a delta by whoever lacks it.
//
// Callers are the processes of both planes (control members, gateways and agents). A process that is the source of a
// configuration or view announces it with SetConfig and SetView; every other one reads Config and View after each turn.
//
// Invariants:
//   - the configuration's version and the view's epoch never decrease;
//   - a view that is not valid by package view is never taken over or passed on;
//   - a configuration from another process is taken over only if its digest is the one that its source computed;
//   - the partial view holds at most partialViewSize neighbors, never the process itself, and none twice.
//
// Machine is a pure state machine: it has no goroutines, clocks or sockets. It is not safe for concurrent use; its host
// calls it from one goroutine, passes it the time on a steady clock, and sends what TakeSends returns. Equal seeds and equal
// calls lead to the same messages, but for the order of the items in a delta.
package gossip
