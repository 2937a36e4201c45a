// Package jobs implements the table of accepted jobs, with their occurrences, steps and tasks.
//
// A job consists of stages that may depend on each other. It runs once, or once per occurrence;
// the scheduled times of consecutive occurrences are one interval apart. Each occurrence has one
// step per stage, and each step has a fixed number of tasks. Starting a task creates a run with a
// number that increases from run to run; if a run fails or is lost, the task is started again with
// the next number. The tasks of a gang start together, and the gang is done as soon as the run of
// one member is.
//
// Package scheduler owns the only Table of a process: it accepts and cancels jobs, asks which
// steps have become ready (TakeReady), records the start and the end of each run, and collects the
// records to write (TakeWrites) and the runs to stop (TakeStops). A new head rebuilds the same
// table from the store with Load. PendingCounts and ParseStatus are for members that are not the
// head; Validate checks every submission.
//
// # Invariants
//
//   - A task's phase changes only in setPhase and a job's state only in setState, which keep the
//     counts of the step and the job up to date. A final state never changes.
//   - Every change is written as complete records, so that the table that Load builds from the
//     store equals the table that wrote it; what is not stored is derived (deriveState).
//   - Recording the end of a run is idempotent: it takes effect only for the task's newest run, on
//     the runner that it was started on, and only if that run has not ended yet. At most one run of
//     a task is therefore counted as done.
//   - An ID that was canceled before a job with it was accepted has a tombstone (AddTombstone), so
//     that no such job is accepted later. At most one of the job and the tombstone exists.
//   - A job that has ended keeps its records until all of its runs have ended. After that only its
//     state is kept, until it expires.
//
// The table knows runners only by their IDs, does no input or output and reads no clock: callers
// pass the time in as a time of day in milliseconds since 1970. No type of this package is safe for
// concurrent use.
package jobs
