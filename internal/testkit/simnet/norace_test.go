//go:build !race

package simnet

const raced = false
