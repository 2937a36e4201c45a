// Package journal defines the file in which a member of the control plane keeps its identity, its votes and its replicated
// state.
//
// The state machine (internal/control/replica) encodes records with Append and takes an Image of its state where the file
// has to be rewritten; the server (internal/control/server) writes both through a File. Read decodes a file's bytes and is
// pure, so that simulations use it on files in memory. The operator's snapshot command reads with Load and writes with
// Create.
//
// # Format
//
// A file is a sequence of records. Integers are little-endian.
//
//	offset  bytes  content
//	0       4      length of the body
//	4       4      CRC-32C of everything from offset 8 to the end of the body
//	8       8      length of the file that was known to be synced when the record was made
//	16      1      kind
//	17      -      body, a protocol buffer of the kind's message
//
// The first record of a file is its identity with the version of the format. The records that follow change the state in
// order. Replacing the state takes several install records in an image; they count together, as the new file takes the old
// one's name only once it is synced.
//
// # Invariants
//
//   - A torn end is not damage. A crash may leave the last writes incomplete; what follows the last valid record is then
//     cut off, and it has not been acknowledged.
//   - Damage is not mistaken for a torn end where the file shows it: where a valid record after an invalid one says that the
//     invalid one had been synced, the file is damaged, and the member comes back as one that has lost its disk. It must
//     not vote again under its earlier identity, as it may have forgotten promises.
//   - A file of a newer format is refused unchanged.
//
// Read, Append and Image are safe for concurrent use on different values; a File is not safe for concurrent use.
package journal
