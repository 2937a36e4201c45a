package scenarios

import (
	"fmt"
	"maps"
	"math"
)

// Bounds of the generated values. Names that end in Ms are in milliseconds; scales are factors of
// the site's own values.
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
	minRunLeaseMs   = 6000
	maxRunLeaseMs   = 16000
	maxCPUs         = 4
	minCPUScale     = 0.8
	maxCPUScale     = 1.5
	minTrafficScale = 0.7
	maxTrafficScale = 1.15
	maxPriorities   = 3
)

// varyDeployment varies everything but the days.
func (g *generator) varyDeployment() {
	g.varyZones()
	g.varyCore()
	g.varyPeriods()
	g.varySizes()
	g.varyTraffic()
}

// varyZones replaces the zones by 1 to maxZones new ones in the region of the first, and assigns
// each old zone's machines to one of them.
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

// spreadOverZones moves machines into zones that have none of their class.
func (g *generator) spreadOverZones() {
	machines := tables(g.root["machines"])
	for _, class := range []string{"front", "side"} {
		for _, zone := range g.zones {
			g.fillZone(machines, class, zone)
		}
	}
}

// fillZone moves one entry of a class to a zone that has none, from the first zone with at least
// two.
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

// varyCore draws the number of core machines and how many of them may fail at once, which is always
// less than half. It spreads them evenly over the zones.
func (g *generator) varyCore() {
	g.coreMachines = minCore + g.rng.IntN(maxCore-minCore+1)
	g.tolerated = 1 + g.rng.IntN(min(maxTolerated, (g.coreMachines-1)/2))
	var pattern table
	var machines []any
	for _, m := range tables(g.root["machines"]) {
		if m["class"] != coreClass {
			machines = append(machines, m)
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
			machines = append(machines, g.coreEntry(pattern, zone, count[zone]))
		}
	}
	g.root["machines"] = machines
	tolerate, _ := g.root["tolerate"].(table)
	tolerate["machines"] = int64(g.tolerated)
}

// coreEntry returns a copy of a core machines' entry for another zone and count, with a new sync
// latency of their disks.
func (g *generator) coreEntry(pattern table, zone string, count int) table {
	m := maps.Clone(pattern)
	m["zone"], m["count"] = zone, int64(count)
	if disk, ok := m["disk"].(table); ok {
		disk = maps.Clone(disk)
		disk["sync_ms"] = g.between(minSyncMs, maxSyncMs)
		m["disk"] = disk
	}
	return m
}

// varyPeriods draws the heartbeat interval, the network latency between zones and the maximum run
// lease.
func (g *generator) varyPeriods() {
	set(g.root, "discovery", "beat_ms", int64(g.between(minHeartbeatMs, maxHeartbeatMs)))
	set(g.root, "net", "cross_zone_ms", g.between(minCrossZoneMs, maxCrossZoneMs))
	set(g.root, "timing", "hold_max_ms", math.Round(g.between(minRunLeaseMs, maxRunLeaseMs)))
}

// varySizes draws the number of CPUs of all machines and scales each machine's CPU share.
func (g *generator) varySizes() {
	cpus := int64(1 + g.rng.IntN(maxCPUs))
	for _, m := range tables(g.root["machines"]) {
		m["cores"] = cpus
		if share, ok := m["cpu_share"].(float64); ok {
			m["cpu_share"] = round(share * g.between(minCPUScale, maxCPUScale))
		}
	}
}

// varyTraffic scales all request rates by one factor, and draws new priorities for some classes.
func (g *generator) varyTraffic() {
	for _, class := range tables(g.root["classes"]) {
		if _, ok := class["priority"]; ok && g.rng.IntN(2) == 0 {
			class["priority"] = int64(g.rng.IntN(maxPriorities))
		}
	}
	factor := g.between(minTrafficScale, maxTrafficScale)
	scale(tables(g.root["traffic"]), factor)
	for _, day := range tables(g.root["day"]) {
		scale(tables(day["traffic"]), factor)
	}
}

// scale multiplies the request rates of traffic entries by a factor.
func scale(traffic []table, factor float64) {
	for _, t := range traffic {
		if rate, ok := t["per_s"].(float64); ok {
			t["per_s"] = round(rate * factor)
		}
	}
}
