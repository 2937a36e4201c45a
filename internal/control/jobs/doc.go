// Package jobs is the table of accepted jobs, with their occurrences, steps and tasks.
//
// A job has stages that depend on each other. It runs once, or once for each of its occurrences, whose scheduled times
// lie an interval apart. For an occurrence each stage becomes a step with a number of tasks. A task is started as a run
// with a number that rises; where a run fails or is lost, the task is started again as its next run. The tasks of a
// gang start together, and a run of a gang is done as soon as one member is.
//
// Package scheduler is the owner of the one Table: it accepts and cancels jobs, asks which steps have become ready
// (TakeReady), records the start and the end of each run, and takes what is to be written (TakeWrites) and which runs
// are to be stopped (TakeStops). A new head makes the same table from the store with Load. PendingCounts and
// ParseStatus serve members that are not the head; Validate is the check that each submission has to pass.
//
// # Invariants
//
//   - A task's phase changes in setPhase only, and a job's state in setState only, which keep the counts of a step and
//     a job. A final state never changes.
//   - Every change is among the writes as complete records, so that the table that Load makes of the store equals the
//     one that wrote it, but for what follows from the rest (deriveState).
//   - Ends are idempotent: an end counts only if it is that of the task's newest run, on the runner that it was started
//     on, and if that run has not ended. So at most one run of a task is ever counted as done.
//   - A job that has ended keeps its records until all of its runs have ended; then only its state is kept, until it
//     expires.
//
// The table knows nothing of runners but their ids, does no input or output and reads no clock: times are arguments, as
// times of day in ms since 1970. Nothing here is safe for concurrent use.
package jobs
