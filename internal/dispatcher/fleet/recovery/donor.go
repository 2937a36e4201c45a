package recovery

import "slices"

// Donor returns the index in epochs of the member that a restarting member should fetch shared
// state from: the one with the lowest epoch, provided that it is lower than the caller's own.
// Epochs are drawn at process start and only grow, so the lowest belongs to the member that has run
// longest. Donor returns -1 if no other member is older: all have restarted together and any of
// them will do. Without this rule, a member that has just started could rely on another that knows
// as little.
func Donor(own uint64, epochs []uint64) int {
	if len(epochs) == 0 {
		return -1
	}
	oldest := slices.Index(epochs, slices.Min(epochs))
	if epochs[oldest] >= own {
		return -1
	}
	return oldest
}
