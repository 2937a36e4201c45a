// Package nodefile reads the settings file of a process of the cluster scheduler: the process's
// identity, the addresses that it listens on, the seeds that it contacts first, and the time limits
// that it must keep.
//
// The programs' main functions call Read at startup, and package process calls it again whenever
// the file changes. The file is TOML; the environment variable that PathVariable names holds its
// path. Unknown keys are ignored, so that one file may serve several releases. Bounds that are
// missing or not above 0 get the defaults of this package.
//
// Every error is marked with ErrSettings, and its text is one line for operators with the file, the
// key and the reason. A File is plain data that is not modified after Read, so that it may be
// shared; the package keeps no state.
package nodefile
