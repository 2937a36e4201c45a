// Package fixeddraws fixes the seed of property tests. Tests of a package that imports it get the
// same random inputs on every run, so that the result for a commit is reproducible. The flag
// -rapid.seed selects another seed.
package fixeddraws

import (
	"flag"

	_ "pgregory.net/rapid" // declares the flag
)

// seed is the default of the flag -rapid.seed.
const seed = "20261202"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
