//go:build race

package main

// raceEnabled reports whether the race detector is in this build: its own memory is several times
// the program's, so bounds on memory hold without it only.
const raceEnabled = true
