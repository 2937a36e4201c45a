package settings

import (
	"fmt"
	"slices"
)

// fleet reads what depends on the names of zones and kinds, and returns these names. It sets what the platform's form
// needs beside the values of single keys.
func (r *reader) fleet(tree map[string]any) (zones, kinds []any) {
	zones, _ = r.own["fleet.zones"].([]any)
	kinds, _ = r.own["fleet.kinds"].([]any)
	settings := r.platform["settings"].(map[string]any)
	zone, given := r.own["fleet.zone"].(string)
	if i := slices.Index(zones, any(zone)); given && i < 0 {
		r.addError("fleet.zone", fmt.Sprintf("%q is not among fleet.zones", zone))
	} else {
		settings["zone"] = max(i, 0)
	}
	settings["weights"] = "none"
	r.checkNumber()
	if r.own["fleet.weights"] == true {
		settings["weights"] = "listed"
	}
	r.reports(settings["family-info"].(map[string]any))
	settings["discovery"] = "none"
	if _, found := lookup(tree, "discovery.address"); found {
		settings["discovery"] = map[any]string{"asked": "on_request", "pushed": "pushed"}[r.own["discovery.list"]]
		if _, list := tree["runner"]; list {
			r.addError("runner", "a fixed list goes without discovery; leave one of them out")
		}
	}
	return zones, kinds
}

// checkNumber finds a number of this dispatcher that is past the number of dispatchers.
func (r *reader) checkNumber() {
	dispatchers, given := r.own["fleet.dispatchers"].(int64)
	number, _ := r.own["fleet.number"].(int64)
	if number >= max(dispatchers, 1) && (given || number > 0) {
		r.addError("fleet.number", fmt.Sprintf("%d is not the number of one of %d dispatchers, which count from 0", number, max(dispatchers, 1)))
	}
}

// reports reads what load reports hold.
func (r *reader) reports(family map[string]any) {
	columns, _ := r.own["probes.columns"].([]any)
	freeSlots, given := r.own["probes.free_slots"].(string)
	if given {
		if !slices.Contains(columns, any(freeSlots)) {
			r.addError("probes.free_slots", fmt.Sprintf("%q is not among probes.columns", freeSlots))
		}
		family["report-"+freeSlots] = "free slots"
	}
	others := slices.DeleteFunc(slices.Clone(columns), func(c any) bool { return given && c == freeSlots })
	if err := knownColumns(others); err != nil {
		r.addError("probes.columns", err.Error())
	}
	if r.own["probes.report"] != "none" && len(columns) == 0 {
		r.addError("probes.report", "probes.columns does not say what the reports hold")
	}
}

// classes reads [[class]].
func (r *reader) classes(v any, kinds []any) {
	settings := r.platform["settings"].(map[string]any)
	family, _ := settings["family-info"].(map[string]any)
	var list, kindNumbers, priorities []any
	for i, tree := range r.tables("class", v) {
		prefix, class := fmt.Sprintf("class[%d].", i), map[string]any{}
		r.fields(classes, prefix, tree, class)
		kind := -1
		if name, given := r.own[prefix+"kind"].(string); given {
			if kind = slices.Index(kinds, any(name)); kind < 0 {
				r.addError(prefix+"kind", fmt.Sprintf("%q is not among fleet.kinds", name))
			}
		}
		if r.own[prefix+"effect"] == "keyed" && r.own[prefix+"window"] == int64(0) {
			r.addError(prefix+"window", "a keyed class needs the time for which repeats are dropped")
		}
		r.checkUnique("class", "name", i)
		list, kindNumbers, priorities = append(list, class), append(kindNumbers, kind), append(priorities, r.own[prefix+"priority"])
	}
	if family == nil {
		family = map[string]any{}
		settings["family-info"] = family
	}
	if len(list) > 0 {
		settings["request-classes"], family["class-kind"], family["class-priority"] = list, kindNumbers, priorities
	}
}

// tenants reads [[tenant]].
func (r *reader) tenants(v any) {
	list := []any{}
	for i, tree := range r.tables("tenant", v) {
		prefix, tenant := fmt.Sprintf("tenant[%d].", i), map[string]any{}
		r.fields(tenants, prefix, tree, tenant)
		r.checkUnique("tenant", "name", i)
		list = append(list, tenant)
	}
	r.platform["settings"].(map[string]any)["tenants"] = list
}

// runners reads [[runner]], a fixed list.
func (r *reader) runners(v any, zones, kinds []any) {
	var list []any
	for i, tree := range r.tables("runner", v) {
		prefix, runner := fmt.Sprintf("runner[%d].", i), map[string]any{"state": "SERVING", "boot_ms": 0}
		r.fields(runners, prefix, tree, runner)
		for _, named := range []struct {
			key   string
			names []any
		}{{"zone", zones}, {"kind", kinds}} {
			if name := r.own[prefix+named.key]; name != nil && !slices.Contains(named.names, name) {
				r.addError(prefix+named.key, fmt.Sprintf("%q is not among fleet.%ss", name, named.key))
			}
		}
		r.checkUnique("runner", "id", i)
		list = append(list, runner)
	}
	if len(list) > 0 {
		r.platform["known"] = map[string]any{"rev": 0, "all": true, "targets": list}
	}
}

// checkUnique finds a value of a list's item that an earlier item has too.
func (r *reader) checkUnique(list, key string, item int) {
	at := func(i int) string { return fmt.Sprintf("%s[%d].%s", list, i, key) }
	for i := range item {
		if v := r.own[at(item)]; v != nil && v == r.own[at(i)] {
			r.addError(at(item), fmt.Sprintf("%q is there twice", v))
		}
	}
}

// tables returns the items of [[key]].
func (r *reader) tables(key string, v any) (out []map[string]any) {
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
