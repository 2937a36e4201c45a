// Package journal defines the state file, in which a member of the control plane stores its identity, its votes and its
// replicated state.
//
// The state machine (internal/control/replica) encodes records with Append and takes an Image of its state when the file
// has to be rewritten; the server (internal/control/server) writes both through a File. Read decodes the bytes of a file
// without I/O, so that simulations can use it on files in memory. The operator's snapshot command reads with Load and writes
// with Create.
//
// # Format
//
// A file is a sequence of records. Integers are little-endian.
//
//	offset  bytes  content
//	0       4      length of the body
//	4       4      CRC-32C of everything from offset 8 to the end of the body
//	8       8      length of the file that was known to be synced when the record was encoded
//	16      1      kind
//	17      -      body, a protocol buffer of the kind's message
//
// The first record of a file holds the member's identity and the version of the format. The records after it are changes to
// the state, in order. An image may consist of several install records; they take effect atomically, because the new file
// is renamed to the old one's name only after it has been synced.
//
// # Invariants
//
//   - A torn end is not damage. A crash may leave the last writes incomplete. The bytes after the last valid record are then
//     truncated; they have not been acknowledged.
//   - Damage is detected if a later record proves it: if a valid record after an invalid one says that the invalid one had
//     been synced, the file is damaged, and the member restarts as if it had lost its disk. It must not vote again under its
//     earlier identity, because it may have lost promises.
//   - A file of a newer format is rejected and left unchanged.
//
// Read, Append and Image are safe for concurrent use on different values; a File is not safe for concurrent use.
package journal
