package recovery

import "slices"

// Donor returns the index in epochs of the member that a restarting member should fetch shared
// state from: the one with the lowest epoch, provided that it is lower than mine. Epochs are drawn
// at process start and only grow, so the lowest belongs to the member that has run longest. Donor
// returns -1 when no other member is older: all have restarted together and any of them will do.
// Without this rule, a member that has just started could take another that knows as little for an
// authority.
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
