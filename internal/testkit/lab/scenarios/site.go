package scenarios

// table is a TOML table. The fleet bench defines the site file's format; this package knows only
// the keys that it varies and keeps all others unchanged.
type table = map[string]any

// coreClass is the machine class of the control plane in a site file.
const coreClass = "core"

// set sets a key of a sub-table. It does nothing if the sub-table does not exist.
func set(root table, name, key string, value any) {
	if sub, ok := root[name].(table); ok {
		sub[key] = value
	}
}

// renameZones replaces every string in value that is a key of names, and returns the result. It
// changes tables and arrays in place.
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

// tables returns the tables of an array, nil if value is not an array.
func tables(value any) (out []table) {
	items, _ := value.([]any)
	for _, item := range items {
		if t, ok := item.(table); ok {
			out = append(out, t)
		}
	}
	return out
}

// toFloat converts an integer or float, and returns 0 for any other value.
func toFloat(value any) float64 {
	switch v := value.(type) {
	case int64:
		return float64(v)
	case float64:
		return v
	}
	return 0
}
