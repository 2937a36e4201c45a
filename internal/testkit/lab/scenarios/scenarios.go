// Package scenarios generates random deployments and days of faults, to find failures that no
// hand-written scenario covers. A scenario is a variation of a given site file of the fleet bench:
// it varies the number of zones, the size of the control plane and how many of its machines may
// fail, the intervals, the latencies and the machine sizes, and has days that combine kinds of
// faults in pairs.
//
// The program frosttide-scenarios writes scenarios to files. The package does no I/O: the result
// depends only on the site file and the options. Generate is safe for concurrent use.
package scenarios

import (
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrSite marks the errors of a site file that is invalid or lacks what a variation needs.
var ErrSite = errors.New("the site can't be varied")

// Options selects what is generated.
type Options struct {
	Seed           uint64
	Days           int    // number of days with faults, in addition to one without
	Folder         string // directory of the site file; its relative paths start there
	KeepDeployment bool   // generate only days
}

// Generate returns a variation of a site file in TOML. The error is ErrSite if the site file is
// invalid. Equal sites and options give equal variations.
func Generate(site []byte, o Options) ([]byte, error) {
	var root table
	if err := toml.Unmarshal(site, &root); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "it is not valid TOML"), ErrSite)
	}
	g := &generator{root: root, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	if err := g.readDeployment(); err != nil {
		return nil, err
	}
	if name, ok := root["wire"].(string); ok && !filepath.IsAbs(name) {
		root["wire"] = filepath.Join(o.Folder, name)
	}
	root["name"] = fmt.Sprintf("%s-%d", root["name"], o.Seed)
	if !o.KeepDeployment {
		g.varyDeployment()
	}
	g.replaceDays(o.Days)
	out, err := toml.Marshal(root)
	return out, errors.Wrap(err, "scenarios: encode the variation")
}

// generator generates one variation. It is not safe for concurrent use.
type generator struct {
	root         table // the site file, changed in place
	rng          *rand.Rand
	zones        []string
	coreMachines int
	tolerated    int // core machines that may fail at once
}

// readDeployment reads the parts of the site that the variation depends on, and checks that they
// exist.
func (g *generator) readDeployment() error {
	for _, zone := range tables(g.root["zones"]) {
		name, _ := zone["name"].(string)
		g.zones = append(g.zones, name)
	}
	for _, machine := range tables(g.root["machines"]) {
		if machine["class"] == coreClass {
			g.coreMachines += int(toFloat(machine["count"]))
		}
	}
	tolerate, _ := g.root["tolerate"].(table)
	g.tolerated = int(toFloat(tolerate["machines"]))
	switch {
	case len(g.zones) == 0:
		return errors.Mark(errors.New("zones: none is defined"), ErrSite)
	case g.coreMachines == 0:
		return errors.Mark(errors.Newf("machines: none has class %q", coreClass), ErrSite)
	case len(tables(g.root["day"])) == 0:
		return errors.Mark(errors.New("day: none is defined to copy the traffic from"), ErrSite)
	}
	return nil
}

// between draws a number between the bounds, rounded to three decimals.
func (g *generator) between(lower, upper float64) float64 {
	return round(lower + (upper-lower)*g.rng.Float64())
}

// pick draws one of the choices.
func (g *generator) pick(choices []string) string { return choices[g.rng.IntN(len(choices))] }

// round rounds to three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
