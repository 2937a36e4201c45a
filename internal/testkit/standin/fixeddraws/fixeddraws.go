// Package fixeddraws has the property tests of a test binary that imports it draw the same inputs
// on every run, so that a commit has one verdict. The flag -rapid.seed draws others.
package fixeddraws

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

// seed is what all draws follow from.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
