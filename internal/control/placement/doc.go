// Package placement decides which runner a task is assigned to, or that the task has to wait.
//
// A Fleet holds one Runner for each runner process: its capacity and labels, the resources that its
// runs have reserved, its tokens and its health. Package scheduler is the only caller. It reports
// changes of runners (UpdateRunner, SetUsable, RecordOutcome), asks for runners (Pick, PickGang,
// PickGangInRack), reserves resources when it starts a run (Reserve) and releases them when the end
// of the run is known (Release).
//
// # How a runner is chosen
//
// As in other cluster schedulers, there are two steps, filtering and ranking. A runner is feasible
// for a request if it is usable, has enough free capacity and the required label, and is not
// ejected (feasible.go, health.go). Of the feasible runners the best by rank is picked (rank.go):
// one that has not failed the task, is in good health, is in the rack of the task's data and whose
// GPUs would not be fragmented needlessly. Between runners of equal rank the tokens decide. Each
// runner has tokens in proportion to its processors. Free tokens form a ring in the order in which
// they became free (package bucket), and the runner with the token that has been free longest is
// picked. Equal runners thus take turns in proportion to their sizes, without a random choice. Tokens
// are no limit: a runner without free ones, on which many small tasks run, comes after the others of
// equal rank as long as it has room.
//
// Health is outlier detection by the outcomes of runs: a runner that fails its tasks is ejected for
// some time and then readmitted on probation, one task at a time (health.go). Headroom keeps
// capacity free for more urgent priorities, according to their recent demand (headroom.go). Explain
// counts the reasons why a task waits (explain.go).
//
// # Invariants
//
//   - A runner's reservations never exceed its capacity in any resource, provided that callers
//     reserve only on runners that Pick and the gang functions return. There are two exceptions:
//     runs that an earlier head started are reserved whatever the capacity, and a runner may report
//     less capacity than is reserved. Such a runner gets no more tasks until enough is released.
//   - The totals of a pool always match its runners: free capacity is the sum over the usable ones.
//     Only Fleet.update, and Remove for a runner that it removes, change the values that the totals
//     are computed from.
//   - While Changes returns the same number and no time passes, a task that did not fit still does
//     not fit.
//   - Choices depend only on the calls made: they use no clock, no random numbers and no iteration
//     order of a map.
//
// The types of this package are not safe for concurrent use.
package placement
