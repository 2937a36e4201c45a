package protocol

// Limits of encoded sizes, in bytes.
const (
	// MaxListBytes is the size from which on a message takes no further elements of its lists; the rest
	// goes into the next message. It is far below what package transport takes.
	MaxListBytes = 1 << 20
	// MaxCheckpointBytes is the size of the longest checkpoint that is kept. With the escapes of JSON
	// it may take six times as much, and has to fit into a response to a runner.
	MaxCheckpointBytes = 64 << 10
)
