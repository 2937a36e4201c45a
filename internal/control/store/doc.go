// Package store holds the replicated state of the control plane: a key-value table with a digest for each of a fixed number
// of key ranges.
//
// Each member's state machine (internal/control/replica) owns one Store and applies the entries of the chain to it in order;
// the scheduler reads the Store and watches its changes. The digests form a Merkle tree of depth one, with which two members
// find the key ranges in which their states differ without sending equal ranges: a member that is missing changes sends its
// 1,024 digests and receives the differing ranges.
//
// # Invariants
//
//   - Equal items have equal digests, independent of the order of writes: the digest of a range is the sum of its items'
//     digests modulo 2^64. Unequal digests prove that items differ; equal digests mean equal items unless the 64-bit hash
//     collides. The hash is not cryptographic: digests do not protect against forged items.
//   - The assignment of keys to ranges and the digests are part of the members' protocol. They must not change while
//     members of different versions run together.
//   - Values are stored and returned without copying. Neither the store nor its callers may modify them.
//
// A Store is not safe for concurrent use.
package store
