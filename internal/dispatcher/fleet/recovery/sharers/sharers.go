// Package sharers counts the dispatchers that currently share the warm-up capacity of a runner.
// Dividing by the configured number alone would leave most of it unused while most dispatchers are
// down; dividing by those seen alive would spend it twice during a network partition. A dispatcher
// that is not seen therefore counts until there is evidence that it has ended.
//
// Package rejoin calls it with the states that package cluster observes. The package is pure and
// safe for concurrent use.
package sharers

// PeerState is what is known of another dispatcher.
type PeerState uint8

// The states of a peer.
const (
	Unseen   PeerState = iota // no contact: it may be down, or partitioned and working
	Alive                     // it responds
	Departed                  // it has announced its end
	Refused                   // its machine refuses connections to its address
)

// Count returns the number of dispatchers that share the capacity, at least 1, from the configured
// number and the states of the other dispatchers known. A configured dispatcher that was never
// seen counts as working, and so do live ones beyond the configured number.
func Count(configured int, others []PeerState) int {
	working, departed := 1, 0
	for _, l := range others {
		switch l {
		case Departed, Refused:
			departed++
		default:
			working++
		}
	}
	return max(configured-departed, working, 1)
}
