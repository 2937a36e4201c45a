// Package routeconfig holds the operator's configuration: an immutable table of items (routes, services and the other
// members of the document) with the rules by which documents and patches change it.
//
// Both planes use it. The head of the control plane evaluates an operator's order with Apply and stores the items that
// it changes; every other process follows the versions by deltas (DeltaSince, ApplyDelta), which package gossip
// carries. Gateways match requests to routes with Match.
//
// Invariants:
//   - a Table never changes once it is made; a change makes a new one, so that tables are safe for concurrent use;
//   - versions rise with each change;
//   - the digest depends on the keys and the JSON of the items alone, not on their order, so that processes of different
//     releases compare tables by it;
//   - removed items stay as tombstones, at most maxTombstones of them, so that a delta from any version not below the
//     tombstone horizon leads to the same table; older followers get the full configuration;
//   - members that the programs do not know are kept and handed back as they came.
//
// Every reason for a refusal is marked with ErrInvalid; its text is written for operators.
package routeconfig
