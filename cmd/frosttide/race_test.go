//go:build race

package main

// raceEnabled reports whether the race detector is in this build. The detector needs several times
// the memory of the program, so tests check limits on memory only without it.
const raceEnabled = true
