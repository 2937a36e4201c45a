// Package routeconfig holds the operator's configuration: an immutable table of items (routes,
// services and the other members of the configuration document), and the rules by which documents
// and patches change it.
//
// Both the control plane and the data plane use it. The head of the control plane's replication
// chain evaluates an operator's update with Apply and stores the changed items; all other
// processes follow the versions by deltas (DeltaSince, ApplyDelta), which package gossip carries.
// Gateways match requests to routes with Match.
//
// Invariants:
//   - a Table is immutable, and therefore safe for concurrent use; a change creates a new one;
//   - every change increases the version;
//   - the digest depends only on the keys and the JSON of the items, not on their order, so that
//     processes of different releases can compare tables by it;
//   - removed items are kept as tombstones, at most maxTombstones of them, so that a delta from
//     any version not below the tombstone horizon reproduces the same table; followers of older
//     versions get the full configuration;
//   - members of the document that are unknown to this release are stored and returned unchanged.
//
// Every error about an invalid configuration is marked with ErrInvalid, and its text is addressed
// to operators.
package routeconfig
