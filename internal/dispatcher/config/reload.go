package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"frosttide/decision"
)

// Reload loads the configuration again and returns the one that replaces c, the current one. The
// address of discovery in the file takes precedence over the environment, because the environment
// of a process stays that of its start and the address could not be changed otherwise. Reload
// rejects a file with an invalid value, and one that lacks a key of the current file.
func (c Config) Reload(source Source) (Config, error) {
	next, err := load(source, fileFirst)
	if err != nil {
		return Config{}, err
	}
	if key := missingKey(c.keys, next.keys); key != "" {
		return Config{}, fmt.Errorf("%s is missing", key)
	}
	if next.Module.Limits.MaxAttempts <= 0 {
		return Config{}, errors.New("settings: policy-limits.send-cap must be greater than 0")
	}
	for i, class := range next.Module.Classes {
		if class.ClientTimeout <= 0 {
			return Config{}, fmt.Errorf("settings: request-classes[%d].give-up must be greater than 0", i)
		}
		if slices.Index(next.Names.Classes, next.Names.Classes[i]) < i {
			return Config{}, fmt.Errorf("settings: request-classes[%d].name is a duplicate", i)
		}
	}
	return c.renumberClasses(next), nil
}

// renumberClasses gives each class of the next configuration the number that the class with the
// same name has in c. New classes get the numbers after those. A removed class keeps its number,
// because jobs of it may be open.
func (c Config) renumberClasses(next Config) Config {
	classes, names := slices.Clone(c.Module.Classes), slices.Clone(c.Names.Classes)
	removed := slices.Repeat([]bool{true}, len(names))
	for i, name := range next.Names.Classes {
		n := slices.Index(names, name)
		if n < 0 {
			n = len(names)
			names, classes, removed = append(names, name), append(classes, decision.Class{}), append(removed, false)
		}
		classes[n], removed[n] = next.Module.Classes[i], false
	}
	next.Names.Classes, next.Module.Classes, next.RemovedClasses = names, classes, removed
	return next
}

// KeepStartOnly returns the next configuration, but with the values of c for the settings that only
// a restart can change. It also returns the names of those that differ.
func (c Config) KeepStartOnly(next Config) (Config, []string) {
	changed := c.changedStartOnly(&next)
	if !c.sameGearman(&next) {
		functions := next.Gearman.Functions
		next.Gearman = c.Gearman
		next.Gearman.Functions = functions
	}
	next.State, next.Cluster, next.Gang = c.State, c.Cluster, c.Gang
	classes, tenants := next.Names.Classes, next.Names.Tenants
	next.Name, next.Listen, next.Console, next.Limits, next.Names = c.Name, c.Listen, c.Console, c.Limits, c.Names
	next.Names.Classes, next.Names.Tenants = classes, tenants
	m := &next.Module
	m.Metrics, m.Limits.ConnectTimeout, m.PullMembers = c.Module.Metrics, c.Module.Limits.ConnectTimeout, c.Module.PullMembers
	m.Instance, m.Zone, m.Zones = c.Module.Instance, c.Module.Zone, c.Module.Zones
	return next, changed
}

// changedStartOnly returns the names of the settings that differ in the next configuration and that
// only a restart can change.
func (c *Config) changedStartOnly(next *Config) []string {
	var changed []string
	for _, part := range []struct {
		name string
		same bool
	}{
		{"name", c.Name == next.Name},
		{"listen", c.Listen == next.Listen},
		{"console", c.Console == next.Console},
		{"limits", c.Limits == next.Limits},
		{"zones", slices.Equal(c.Names.Zones, next.Names.Zones)},
		{"kinds", slices.Equal(c.Names.Kinds, next.Names.Kinds)},
		{"report", slices.Equal(c.Names.Columns, next.Names.Columns) && slices.Equal(c.Module.Metrics, next.Module.Metrics)},
		{"keepalive", c.Names.Keepalive == next.Names.Keepalive},
		{"connect-timeout", c.Module.Limits.ConnectTimeout == next.Module.Limits.ConnectTimeout},
		{"me", c.Module.Instance == next.Module.Instance},
		{"zone", c.Module.Zone == next.Module.Zone},
		{"state", c.State == next.State},
		{"gearman", c.sameGearman(next)},
		{"discovery mode", c.Module.PullMembers == next.Module.PullMembers && c.Names.Pushed == next.Names.Pushed},
		{"cluster", c.sameCluster(next)},
		{"gang", c.Gang == next.Gang},
	} {
		if !part.same {
			changed = append(changed, part.name)
		}
	}
	return changed
}

// sameGearman reports whether those Gearman settings are equal that only a restart can change. A
// reload may replace the certificate but neither add nor remove it.
func (c *Config) sameGearman(next *Config) bool {
	g, n := &c.Gearman, &next.Gearman
	return g.Listen == n.Listen && g.Zone == n.Zone && g.Kind == n.Kind && g.Connections == n.Connections && g.Jobs == n.Jobs &&
		g.Packet == n.Packet && (g.Certificate == "") == (n.Certificate == "")
}

// sameCluster reports whether the cluster settings are equal.
func (c *Config) sameCluster(next *Config) bool {
	a, b := &c.Cluster, &next.Cluster
	return a.Listen == b.Listen && a.Advertise == b.Advertise && a.Dir == b.Dir && a.WatermarkDir == b.WatermarkDir &&
		a.StagedRejoin == b.StagedRejoin && a.Workflows == b.Workflows && a.MaxCompensations == b.MaxCompensations &&
		a.PacedAdmission == b.PacedAdmission && a.Discovery == b.Discovery && slices.Equal(a.Join, b.Join) && slices.Equal(a.Voters, b.Voters)
}

// missingKey returns a key that the old file has and the next one lacks, or an empty string if
// there is none. An object in a list needs the keys that all objects of the old list have. The
// runner list under known is data of discovery and is not compared.
func missingKey(old, next map[string]any) string {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		if next[key] == nil && old[key] != nil {
			return key
		}
		if key == "known" {
			continue
		}
		switch current := old[key].(type) {
		case map[string]any:
			object, _ := next[key].(map[string]any)
			if missing := missingKey(current, object); missing != "" {
				return key + "." + missing
			}
		case []any:
			list, _ := next[key].([]any)
			for i := range list {
				object, _ := list[i].(map[string]any)
				if missing := missingKey(commonKeys(current), object); missing != "" {
					return fmt.Sprintf("%s[%d].%s", key, i, missing)
				}
			}
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have, with the values of the first.
func commonKeys(list []any) map[string]any {
	var common map[string]any
	for i := range list {
		object, _ := list[i].(map[string]any)
		if i == 0 {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	return common
}
