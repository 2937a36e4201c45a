package scenarios

// table is a TOML table. The site file's format belongs to the bench, so that only the keys that are varied are known
// here and all others are kept as they are.
type table = map[string]any

// coreClass is the class of the control plane's machines.
const coreClass = "core"

// set sets a key of a sub-table, where there is that table.
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

// tables returns the tables of an array, none for another value.
func tables(value any) (out []table) {
	items, _ := value.([]any)
	for _, item := range items {
		if t, ok := item.(table); ok {
			out = append(out, t)
		}
	}
	return out
}

// toFloat returns a number of either kind, 0 for another value.
func toFloat(value any) float64 {
	switch v := value.(type) {
	case int64:
		return float64(v)
	case float64:
		return v
	}
	return 0
}
