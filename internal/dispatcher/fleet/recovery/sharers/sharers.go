// Package sharers counts the dispatchers that currently share the warm-up capacity of a runner.
// Dividing it by the configured number alone would leave most of it unused while most dispatchers
// are down; dividing it by the number seen alive would allocate it twice during a network
// partition. A dispatcher that is not seen therefore counts until there is evidence that it has
// ended.
//
// Package rejoin calls it with the states that package cluster observes. The package is pure, and
// its function is safe for concurrent use.
package sharers

// PeerState is what is known of another dispatcher.
type PeerState uint8

// The states of a peer.
const (
	Unseen   PeerState = iota // no contact: it may be down, or partitioned and still working
	Alive                     // it responds
	Departed                  // it has announced that it is leaving
	Refused                   // its host refuses connections to its address, so the process has ended
)

// Count returns the number of dispatchers that share the capacity, this one included, from the
// configured number of dispatchers and the states of the known others. A configured dispatcher
// that was never seen counts as working, and so do live ones beyond the configured number. The
// result is at least 1.
func Count(configured int, peers []PeerState) int {
	working, departed := 1, 0
	for _, state := range peers {
		switch state {
		case Departed, Refused:
			departed++
		default:
			working++
		}
	}
	return max(configured-departed, working, 1)
}
