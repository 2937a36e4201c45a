// Package nodefile reads the settings file of a process of the cluster scheduler: its identity, the addresses that it
// listens on, the seeds that it contacts first, and the bounds that it has to keep.
//
// The programs' main functions call Read at the start, package process again whenever the file changes. The file is TOML;
// the environment variable PathVariable names it. Unknown keys are skipped, so that one file may serve several releases.
// Bounds that are missing or not above 0 get the defaults of this package.
//
// Every error is marked with ErrSettings, and its text is one line for operators with the file, the key and the reason. A
// File is plain data and not changed after Read, so that it may be shared; the package keeps no state.
package nodefile
