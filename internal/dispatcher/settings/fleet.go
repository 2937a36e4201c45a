package settings

import (
	"fmt"
	"slices"
)

// readFleet validates the settings that refer to zones and kinds by name, and returns these names.
// It also sets those keys of the platform's form that are derived from several settings.
func (r *reader) readFleet(tree map[string]any) (zones, kinds []any) {
	zones, _ = r.parsed["fleet.zones"].([]any)
	kinds, _ = r.parsed["fleet.kinds"].([]any)
	settings := r.platform["settings"].(map[string]any)
	zone, isSet := r.parsed["fleet.zone"].(string)
	if i := slices.Index(zones, any(zone)); isSet && i < 0 {
		r.addError("fleet.zone", fmt.Sprintf("%q is not among fleet.zones", zone))
	} else {
		settings["zone"] = max(i, 0)
	}
	settings["weights"] = "none"
	r.checkDispatcherNumber()
	if r.parsed["fleet.weights"] == true {
		settings["weights"] = "listed"
	}
	r.readReports(settings["family-info"].(map[string]any))
	settings["discovery"] = "none"
	if _, found := lookup(tree, "discovery.address"); found {
		settings["discovery"] = map[any]string{"asked": "on_request", "pushed": "pushed"}[r.parsed["discovery.list"]]
		if _, list := tree["runner"]; list {
			r.addError("runner", "a fixed list goes without discovery; leave one of them out")
		}
	}
	return zones, kinds
}

// checkDispatcherNumber reports a number of this dispatcher that is not below the number of
// dispatchers.
func (r *reader) checkDispatcherNumber() {
	dispatchers, valid := r.parsed["fleet.dispatchers"].(int64)
	number, _ := r.parsed["fleet.number"].(int64)
	if number >= max(dispatchers, 1) && (valid || number > 0) {
		r.addError("fleet.number", fmt.Sprintf("%d is not the number of one of %d dispatchers, which count from 0", number, max(dispatchers, 1)))
	}
}

// readReports reads the columns of load reports and the meaning that the settings give one of them.
func (r *reader) readReports(family map[string]any) {
	columns, _ := r.parsed["probes.columns"].([]any)
	freeSlots, isSet := r.parsed["probes.free_slots"].(string)
	if isSet {
		if !slices.Contains(columns, any(freeSlots)) {
			r.addError("probes.free_slots", fmt.Sprintf("%q is not among probes.columns", freeSlots))
		}
		family["report-"+freeSlots] = "free slots"
	}
	remaining := slices.DeleteFunc(slices.Clone(columns), func(c any) bool { return isSet && c == freeSlots })
	if err := checkColumns(remaining); err != nil {
		r.addError("probes.columns", err.Error())
	}
	if r.parsed["probes.report"] != "none" && len(columns) == 0 {
		r.addError("probes.report", "probes.columns does not say what the reports hold")
	}
}

// readClasses reads the request classes from the tables [[class]].
func (r *reader) readClasses(v any, kinds []any) {
	settings := r.platform["settings"].(map[string]any)
	family, _ := settings["family-info"].(map[string]any)
	var list, kindNumbers, priorities []any
	for i, tree := range r.arrayOfTables("class", v) {
		prefix, class := fmt.Sprintf("class[%d].", i), map[string]any{}
		r.readFields(classSchema, prefix, tree, class)
		kind := -1
		if name, isSet := r.parsed[prefix+"kind"].(string); isSet {
			if kind = slices.Index(kinds, any(name)); kind < 0 {
				r.addError(prefix+"kind", fmt.Sprintf("%q is not among fleet.kinds", name))
			}
		}
		if r.parsed[prefix+"effect"] == "keyed" && r.parsed[prefix+"window"] == int64(0) {
			r.addError(prefix+"window", "a keyed class needs the time for which repeats are dropped")
		}
		r.checkUnique("class", "name", i)
		list, kindNumbers, priorities = append(list, class), append(kindNumbers, kind), append(priorities, r.parsed[prefix+"priority"])
	}
	if family == nil {
		family = map[string]any{}
		settings["family-info"] = family
	}
	if len(list) > 0 {
		settings["request-classes"], family["class-kind"], family["class-priority"] = list, kindNumbers, priorities
	}
}

// readTenants reads the tenants and their quotas from the tables [[tenant]].
func (r *reader) readTenants(v any) {
	list := []any{}
	for i, tree := range r.arrayOfTables("tenant", v) {
		prefix, tenant := fmt.Sprintf("tenant[%d].", i), map[string]any{}
		r.readFields(tenantSchema, prefix, tree, tenant)
		r.checkUnique("tenant", "name", i)
		list = append(list, tenant)
	}
	r.platform["settings"].(map[string]any)["tenants"] = list
}

// readRunners reads a fixed runner list from the tables [[runner]]. It is converted to a full list
// in the form of discovery.
func (r *reader) readRunners(v any, zones, kinds []any) {
	var list []any
	for i, tree := range r.arrayOfTables("runner", v) {
		prefix, runner := fmt.Sprintf("runner[%d].", i), map[string]any{"state": "SERVING", "boot_ms": 0}
		r.readFields(runnerSchema, prefix, tree, runner)
		for _, reference := range []struct {
			key   string
			names []any
		}{{"zone", zones}, {"kind", kinds}} {
			if name := r.parsed[prefix+reference.key]; name != nil && !slices.Contains(reference.names, name) {
				r.addError(prefix+reference.key, fmt.Sprintf("%q is not among fleet.%ss", name, reference.key))
			}
		}
		r.checkUnique("runner", "id", i)
		list = append(list, runner)
	}
	if len(list) > 0 {
		r.platform["known"] = map[string]any{"rev": 0, "all": true, "targets": list}
	}
}

// checkUnique reports the value of a key that an earlier item of the list already has.
func (r *reader) checkUnique(list, key string, item int) {
	keyAt := func(i int) string { return fmt.Sprintf("%s[%d].%s", list, i, key) }
	for i := range item {
		if v := r.parsed[keyAt(item)]; v != nil && v == r.parsed[keyAt(i)] {
			r.addError(keyAt(item), fmt.Sprintf("%q is there twice", v))
		}
	}
}

// arrayOfTables returns the tables [[key]]. It reports a value that is not an array of tables and
// represents an item that is not a table as nil.
func (r *reader) arrayOfTables(key string, v any) (out []map[string]any) {
	list, ok := v.([]any)
	if v != nil && !ok {
		r.addError(key, "it is written [["+key+"]], once for each")
	}
	for i, item := range list {
		table, ok := item.(map[string]any)
		if !ok {
			r.addError(fmt.Sprintf("%s[%d]", key, i), "it is no table")
		}
		out = append(out, table)
	}
	return out
}
