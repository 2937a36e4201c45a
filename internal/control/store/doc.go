// Package store is the replicated state of the control plane: a table of items by key, with a digest for each of a fixed
// number of key ranges.
//
// Each member's state machine (internal/control/replica) owns one Store, to which it applies the entries of the chain in
// order; the scheduler reads it and watches its changes. The digests let two members find the key ranges in which their
// states differ without sending what does not differ, as Merkle trees of depth one do: a member that lacks some changes
// sends its 1,024 digests and gets the ranges that differ.
//
// # Invariants
//
//   - Equal items give equal digests, whatever the order of the writes that led to them: the digest of a range is the sum,
//     modulo 2^64, of those of its items. Unequal digests prove unequal items; equal ones make equal items as likely as a
//     64-bit hash without collisions. The hash is not cryptographic, so that digests do not protect against forged items.
//   - The assignment of keys to ranges and the digests are part of the members' protocol. They must not change while
//     members of different versions run together.
//   - The store keeps the values that it is given and returns them without copying. Neither side may modify them.
//
// A Store is not safe for concurrent use.
package store
