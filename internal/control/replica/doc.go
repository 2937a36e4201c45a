// Package replica implements one member of the replicated control plane as a pure state machine.
//
// The members keep one table of items (package store) in the manner of chain replication [1]. The newest agreed view
// names the voters and, among them, the chain: the head evaluates requests and appends their effects as entries, each
// entry travels from member to member down the chain, and the tail replies once every chain member has synced it. The
// voters agree on each next view by single-decree Paxos [2]; when a view changes the voters, majorities of the old and
// of the new set are needed, as in joint consensus [3].
//
// # Usage
//
// A Machine has no socket, clock, file or goroutine. Its owner, internal/control/member in the programs and
// internal/testkit/simnet in simulations, passes every event to it with the current time of a steady clock and carries
// out the Actions that each call returns, in the order of the fields of Actions:
//
//	machine := replica.New(cfg, now, state) // state: what journal.Open has read, or FoundingState
//	carryOut(machine.Begin(now))
//	for {
//		select {
//		case <-ticker.C:
//			carryOut(machine.Tick(now, wallMs, agreedMs))
//		case m := <-messages:
//			carryOut(machine.Receive(now, m.from, m.envelope))
//		case w := <-finishedWrites:
//			carryOut(machine.DiskDone(now, w.sequence, w.size, w.err))
//		}
//	}
//
// The serving head appends entries with Append, and reads are confirmed with Read at the tail and ReadAtHead at the
// head. RoleChanges tell the application when it starts and stops being the serving head.
//
// A Machine is not safe for concurrent use, and it keeps the messages that it is given. Envelopes that it returns may
// share entries and views with its own state: receivers must not modify them.
//
// # Invariants
//
//   - Agreement. An epoch is the proposal number under which its view was agreed, so that an epoch names one view. A
//     member promises and accepts nothing below a number that it has promised, and says so only once the promise or the
//     acceptance is synced to its disk ([2], section 2.2).
//   - One head commits. A chain has a member in common with every majority of the voters (view.ChainLength), a majority
//     must promise before a view is agreed, and a member that has promised a number above an epoch takes no more
//     entries of that epoch. The earlier chain therefore cannot commit beside the later one.
//   - No acknowledged entry is lost. An entry is committed when every chain member has synced it ([1], section 3, the
//     Update Propagation Invariant); the next head is a voter that has installed the newest epoch, and it serves only
//     after every member of the new chain has installed that state (considerActivation).
//   - Reads are current. A read is ready only when a majority has confirmed, after the read arrived, that it has promised
//     no number above this epoch, and when everything that the read shows is committed (compare ReadIndex in section 6.4
//     of Ongaro's dissertation).
//   - A failed disk acknowledges nothing. After a failed write nothing in the file counts until the complete state has
//     been written to a new one.
//   - Bounded memory. Uncommitted entries, pending reads, retained peers and received key ranges are bounded.
//
// # Files
//
// machine.go holds the Machine and its entry points, config.go and actions.go its input and output. heartbeat.go keeps
// track of the other members, election.go decides when a view has to be proposed, consensus.go agrees on it, and
// membership.go chooses changes of the voters. install.go adopts an agreed view and activates its chain, transfer.go
// brings the state to members that lack it, chain.go replicates entries, confirm.go confirms epochs and reads, and
// disk.go tracks the writes to the member's file.
//
// [1] R. van Renesse and F. B. Schneider, "Chain Replication for Supporting High Throughput and Availability", OSDI 2004.
//
// [2] L. Lamport, "Paxos Made Simple", 2001. Prepare, Promise, Accept and Accepted are its phases 1a, 1b, 2a and 2b.
//
// [3] D. Ongaro and J. Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC 2014, section 6.
package replica
