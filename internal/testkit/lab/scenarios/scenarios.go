// Package scenarios draws deployments and days of faults that nobody has planned for. A scenario is a variation of a given
// site file of the fleet bench: in its number of zones, size of the control plane, tolerance, periods, distances and
// sizes, with days that combine kinds of faults by pairs.
//
// The program frosttide-scenarios writes them. The package is pure: what is drawn depends on the site file and the seed
// alone. Drawing is not safe for concurrent use; Generate is, as each call draws by itself.
package scenarios

import (
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrSite marks a site file that can't be varied.
var ErrSite = errors.New("the site can't be varied")

// Options say what is drawn.
type Options struct {
	Seed           uint64
	Days           int    // days with faults, beside one without
	Folder         string // of the site file, which other files that it names are relative to
	KeepDeployment bool   // draw days only
}

// Generate returns a variation of a site file, or an error that is ErrSite where the file is not one.
func Generate(site []byte, o Options) ([]byte, error) {
	var root table
	if err := toml.Unmarshal(site, &root); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "it is no TOML"), ErrSite)
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

// generator draws one variation.
type generator struct {
	root         table // the site file, changed in place
	rng          *rand.Rand
	zones        []string
	coreMachines int
	tolerated    int // core machines that may be lost at once
}

// readDeployment reads what the variation rests on.
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
		return errors.Mark(errors.New("zones: none are named"), ErrSite)
	case g.coreMachines == 0:
		return errors.Mark(errors.Newf("machines: none is of the class %q", coreClass), ErrSite)
	case len(tables(g.root["day"])) == 0:
		return errors.Mark(errors.New("day: there is none to take the traffic from"), ErrSite)
	}
	return nil
}

// between draws a number with three decimals.
func (g *generator) between(lower, upper float64) float64 {
	return round(lower + (upper-lower)*g.rng.Float64())
}

// pick draws one of some texts.
func (g *generator) pick(choices []string) string { return choices[g.rng.IntN(len(choices))] }

// round keeps three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
