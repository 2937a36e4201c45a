//go:build !race

package main

// raceEnabled reports whether the race detector is in this build.
const raceEnabled = false
