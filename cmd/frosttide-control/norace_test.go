//go:build !race

package main

// buildFlags are the flags for building the programs under test: none without the race detector.
var buildFlags []string
