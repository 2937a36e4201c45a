//go:build race

package main

// buildFlags are the flags for building the programs under test: they run under the race detector
// if the tests do.
var buildFlags = []string{"-race"}
