// Package transport carries envelopes between the processes of the cluster scheduler.
//
// Two processes share one bidirectional drpc stream, a link, which is dialed by whichever has a
// message to send first. Package process is the only caller; state machines address a receiver by
// its internal address and never see a connection.
//
// Guarantees and limits:
//   - Delivery is at most once and in order, also across links: a process numbers the links that it
//     sends on (the generation in its Hello), and once a message of one link has been handled, no
//     message of an earlier link is (inboundPeer). A link that fails loses the messages that are in
//     flight, queued, or not yet handled at the receiver.
//   - Send never blocks: a message to an unreachable process is dropped, and a link whose queue is
//     full is terminated, so that the peer notices the loss.
//   - The kernel closes a connection whose sent bytes stay unacknowledged for userTimeout; the
//     transport closes one that is idle for idleTimeout.
//   - A link belongs to one incarnation of the peer: the link of a process that restarts at the
//     same address replaces that of its predecessor, and a link of the predecessor that is read
//     late is closed. Connections are numbered in the order in which they are accepted, which is
//     the order of the kernel's backlog, or in which their dial starts: of two successive processes
//     at an address, the later one's connection has the higher number.
//
// A Transport is safe for concurrent use. It owns one goroutine that accepts connections and two
// for each link, a reader and a writer; Close waits for all of them. The readers call
// Config.Handle, concurrently for different addresses.
package transport
