//go:build race

package simnet

const raced = true
