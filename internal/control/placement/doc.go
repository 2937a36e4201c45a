// Package placement decides which runner a task goes to, or that it has to wait.
//
// A Fleet holds one Runner for each runner process: its capacity and labels, what its runs have reserved, its tokens
// and its health. Package scheduler is the only caller: it reports what becomes known of runners (UpdateRunner,
// SetUsable, RecordOutcome), asks for a runner (Pick, PickGang, PickGangInRack), reserves resources when it starts a
// run (Reserve) and releases them when the end of the run is known (Release).
//
// # How a runner is chosen
//
// As in other cluster schedulers the choice is made in two steps. A runner is feasible for a request where it is
// usable, has the capacity free and the label, and is not ejected (feasible.go, health.go). Of the feasible ones the
// best by rank is taken (rank.go): one that has not failed the task, is in good health, lies in the rack of the data
// and is not broken up needlessly. Between runners of equal rank the tokens decide: each runner has tokens in
// proportion to its processors, free tokens lie in a ring in the order in which they became free (package bucket), and
// the runner with the token that has been free longest is taken. So equal runners take turns, in proportion to their
// sizes, without a random choice.
//
// Health is outlier detection by the outcomes of runs: a runner that fails what it is given is ejected for a time and
// then readmitted by one task at a time (health.go). Headroom keeps capacity free for more urgent priorities, by the
// demand of the near past (headroom.go). Explain counts why a task waits (explain.go).
//
// # Invariants
//
//   - No runner's reservations come to exceed its capacity, in any resource, where callers reserve only what Pick and
//     the gang functions return. Runs that an earlier head started are reserved whatever the capacity, and a runner may
//     report less capacity than is reserved; then it takes no more until enough is released.
//   - The totals of a pool are the sums over its usable runners. Fleet.update is the only way in which anything
//     changes that they are made of.
//   - While Changes returns the same number and no time passes, a task that did not fit does not fit now.
//   - Choices depend on nothing but the calls made: no clock, no random numbers, no order of a map.
//
// Nothing here is safe for concurrent use.
package placement
