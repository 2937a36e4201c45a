//go:build !race

package main

const watched = false
