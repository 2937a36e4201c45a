// Package sharers counts by how many dispatchers what a runner bears is shared now. Budgets by
// the settings' number alone leave most of it unused while most dispatchers are away, and by
// those that are seen alive they would be spent twice while a fleet is cut in two. So one that
// is not seen still counts, until there is evidence that it is gone. The package is pure: no
// I/O, no clock.
package sharers

// Life is what is known of a dispatcher.
type Life uint8

// The lives.
const (
	Unseen  Life = iota // nothing is heard of it: it may be dead, or cut off and at work
	Alive               // it answers
	Left                // it said that it goes
	Refused             // its machine answers that nobody listens at its address
)

// Count returns how many share, by the settings' number and what is known of others, this
// dispatcher not among them. Those that nothing was ever heard of count as at work, and more
// that are alive than the settings say count too.
func Count(settings int, others []Life) int {
	working, gone := 1, 0
	for _, l := range others {
		switch l {
		case Left, Refused:
			gone++
		default:
			working++
		}
	}
	return max(settings-gone, working, 1)
}
