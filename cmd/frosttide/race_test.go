//go:build race

package main

// watched reports whether the race detector is in this build: its own memory is several times
// the program's, so bounds on memory hold without it only.
const watched = true
