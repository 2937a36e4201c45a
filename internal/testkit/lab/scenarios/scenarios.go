// Package scenarios draws deployments and days that nobody has planned for: variations of a given site file
// of the fleet bench in its number of zones, size of the control plane, tolerance, periods, distances and
// sizes, each with days that combine kinds of trouble by pairs. What is drawn depends on the seed alone.
package scenarios

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// ErrSite marks a site file that can't be varied.
var ErrSite = errors.New("the site can't be varied")

// table is a TOML table. The site file's format belongs to the bench, so that only the keys that are varied
// are known here and the others are kept as they are.
type table = map[string]any

// Options say what is drawn.
type Options struct {
	Seed           uint64
	Days           int    // days of troubles, beside a calm one
	Folder         string // of the site file, against which it names other files
	KeepDeployment bool   // keep the deployment as it is and draw days only
}

// Generate returns a variation of a site file.
func Generate(site []byte, o Options) ([]byte, error) {
	var root table
	if err := toml.Unmarshal(site, &root); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "it is no TOML"), ErrSite)
	}
	g := &generator{root: root, rng: rand.New(rand.NewPCG(o.Seed, 1))}
	if err := g.check(); err != nil {
		return nil, err
	}
	if name, ok := root["wire"].(string); ok && !filepath.IsAbs(name) {
		root["wire"] = filepath.Join(o.Folder, name)
	}
	root["name"] = fmt.Sprintf("%s-%d", root["name"], o.Seed)
	if !o.KeepDeployment {
		g.vary()
	}
	g.replaceDays(o)
	out, err := toml.Marshal(root)
	return out, errors.Wrap(err, "variants: the variation can't be written")
}

// generator draws one variation.
type generator struct {
	root         table
	rng          *rand.Rand
	zones        []string
	coreMachines int // control machines
	tolerated    int // of them that may be lost at once
}

// check reads what the variation rests on.
func (g *generator) check() error {
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

// coreClass is the class of the machines of the control plane.
const coreClass = "core"

// The bounds of what is drawn.
const (
	maxZones        = 6
	minCore         = 3
	maxCore         = 9
	maxTolerated    = 3
	minHeartbeatMs  = 500
	maxHeartbeatMs  = 3000
	minCrossZoneMs  = 0.5
	maxCrossZoneMs  = 8.0
	minSyncMs       = 2.0
	maxSyncMs       = 15.0
	minHoldMs       = 6000
	maxHoldMs       = 16000
	maxCPUs         = 4
	minCPUScale     = 0.8
	maxCPUScale     = 1.5
	minTrafficScale = 0.7
	maxTrafficScale = 1.15
	maxPriorities   = 3
)

// vary changes the deployment.
func (g *generator) vary() {
	g.varyZones()
	g.varyCore()
	g.varyPeriods()
	g.varySizes()
	g.varyTraffic()
}

// varyZones takes zones away or adds some. What stood in a zone that goes moves to one that stays.
func (g *generator) varyZones() {
	count := 1 + g.rng.IntN(maxZones)
	first := tables(g.root["zones"])[0]
	var zones []any
	var names []string
	for i := range count {
		name := fmt.Sprintf("zone-%d", i+1)
		names = append(names, name)
		zones = append(zones, table{"name": name, "region": first["region"]})
	}
	moved := make(map[string]string)
	for i, old := range g.zones {
		moved[old] = names[i%count]
	}
	g.root["zones"] = zones
	renameZones(g.root, moved)
	g.zones = names
	g.spreadOverZones()
}

// spreadOverZones moves single machines of a class into zones that have none of it.
func (g *generator) spreadOverZones() {
	machines := tables(g.root["machines"])
	for _, class := range []string{"front", "side"} {
		for _, zone := range g.zones {
			g.fillZone(machines, class, zone)
		}
	}
}

// fillZone gives a zone one entry of a class where it has none and another zone has two.
func (g *generator) fillZone(machines []table, class, zone string) {
	byZone := make(map[string][]table)
	for _, m := range machines {
		if m["class"] == class {
			name, _ := m["zone"].(string)
			byZone[name] = append(byZone[name], m)
		}
	}
	if len(byZone[zone]) > 0 {
		return
	}
	for _, other := range g.zones {
		if len(byZone[other]) > 1 {
			byZone[other][0]["zone"] = zone
			return
		}
	}
}

// varyCore draws the control machines and how many of them may be lost at once.
func (g *generator) varyCore() {
	g.coreMachines = minCore + g.rng.IntN(maxCore-minCore+1)
	g.tolerated = 1 + g.rng.IntN(min(maxTolerated, (g.coreMachines-1)/2))
	var pattern table
	var others []any
	for _, m := range tables(g.root["machines"]) {
		if m["class"] != coreClass {
			others = append(others, m)
		} else if pattern == nil {
			pattern = m
		}
	}
	count := make(map[string]int)
	for i := range g.coreMachines {
		count[g.zones[i%len(g.zones)]]++
	}
	for _, zone := range g.zones {
		if count[zone] > 0 {
			m := maps.Clone(pattern)
			m["zone"], m["count"] = zone, int64(count[zone])
			if disk, ok := m["disk"].(table); ok {
				disk = maps.Clone(disk)
				disk["sync_ms"] = g.between(minSyncMs, maxSyncMs)
				m["disk"] = disk
			}
			others = append(others, m)
		}
	}
	g.root["machines"] = others
	tolerate, _ := g.root["tolerate"].(table)
	tolerate["machines"] = int64(g.tolerated)
}

func (g *generator) varyPeriods() {
	set(g.root, "discovery", "beat_ms", int64(g.between(minHeartbeatMs, maxHeartbeatMs)))
	set(g.root, "net", "cross_zone_ms", g.between(minCrossZoneMs, maxCrossZoneMs))
	set(g.root, "timing", "hold_max_ms", math.Round(g.between(minHoldMs, maxHoldMs)))
}

func (g *generator) varySizes() {
	cores := int64(1 + g.rng.IntN(maxCPUs))
	for _, m := range tables(g.root["machines"]) {
		m["cores"] = cores
		if share, ok := m["cpu_share"].(float64); ok {
			m["cpu_share"] = round(share * g.between(minCPUScale, maxCPUScale))
		}
	}
}

// varyTraffic changes how much of what comes, and which class goes first.
func (g *generator) varyTraffic() {
	for _, class := range tables(g.root["classes"]) {
		if _, ok := class["priority"]; ok && g.rng.IntN(2) == 0 {
			class["priority"] = int64(g.rng.IntN(maxPriorities))
		}
	}
	share := g.between(minTrafficScale, maxTrafficScale)
	scale(tables(g.root["traffic"]), share)
	for _, day := range tables(g.root["day"]) {
		scale(tables(day["traffic"]), share)
	}
}

func scale(traffic []table, share float64) {
	for _, t := range traffic {
		if rate, ok := t["per_s"].(float64); ok {
			t["per_s"] = round(rate * share)
		}
	}
}

// between draws a number.
func (g *generator) between(lower, upper float64) float64 {
	return round(lower + (upper-lower)*g.rng.Float64())
}

func (g *generator) pick(choices []string) string { return choices[g.rng.IntN(len(choices))] }

// round keeps three places.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }

// set sets a key of a sub-table that exists.
func set(root table, name, key string, value any) {
	if sub, ok := root[name].(table); ok {
		sub[key] = value
	}
}

// renameZones replaces names of zones wherever a value is one.
func renameZones(value any, names map[string]string) any {
	switch v := value.(type) {
	case string:
		if to, ok := names[v]; ok {
			return to
		}
	case table:
		for key := range v {
			v[key] = renameZones(v[key], names)
		}
	case []any:
		for i := range v {
			v[i] = renameZones(v[i], names)
		}
	}
	return value
}

// tables returns the tables of an array.
func tables(value any) (out []table) {
	items, _ := value.([]any)
	for _, item := range items {
		if t, ok := item.(table); ok {
			out = append(out, t)
		}
	}
	return out
}

func toFloat(value any) float64 {
	switch v := value.(type) {
	case int64:
		return float64(v)
	case float64:
		return v
	}
	return 0
}
