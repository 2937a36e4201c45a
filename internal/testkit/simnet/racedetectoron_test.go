//go:build race

package simnet

const raceDetectorOn = true
