package recovery

import "slices"

// Donor returns which of some members to ask first for what all know, by the epochs that they
// drew at their starts: the one that has been there longest, where that is longer than who
// asks. It returns -1 where nobody has: all came back together, and any will do. Guards a
// member that has just started from taking another that knows as little for one that agrees.
func Donor(mine uint64, epochs []uint64) int {
	if len(epochs) == 0 {
		return -1
	}
	at := slices.Index(epochs, slices.Min(epochs))
	if epochs[at] >= mine {
		return -1
	}
	return at
}
