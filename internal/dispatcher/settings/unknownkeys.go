package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// findUnknownKeys reports the keys of a table that the schema does not have. It must be called
// after all known keys have been read, as r.knownKeys is complete only then.
func (r *reader) findUnknownKeys(prefix string, tree map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		key := prefix + name
		if r.knownKeys[key] {
			continue
		}
		switch v := tree[name].(type) {
		case map[string]any:
			if r.hasKnownKeys(key) {
				r.findUnknownKeys(key+".", v)
				continue
			}
		case []any:
			if prefix == "" && (name == "class" || name == "runner" || name == "tenant") {
				for i, item := range v {
					if t, ok := item.(map[string]any); ok {
						r.findUnknownKeys(fmt.Sprintf("%s[%d].", name, i), t)
					}
				}
				continue
			}
		}
		if r.hasKnownKeys(key) {
			r.addError(key, "it is written as a table, ["+key+"]")
			continue
		}
		r.addError(key, "there is no such key"+r.suggestion(key))
	}
}

// hasKnownKeys reports whether a key names a table that may hold known keys.
func (r *reader) hasKnownKeys(key string) bool {
	for known := range r.knownKeys {
		if strings.HasPrefix(known, key+".") {
			return true
		}
	}
	return false
}

// suggestion proposes the known key closest to an unknown one if their edit distance is at most
// two.
func (r *reader) suggestion(key string) string {
	best, closest := "", 3
	for _, known := range slices.Sorted(maps.Keys(r.knownKeys)) {
		if d := editDistance(key, known); d < closest {
			best, closest = known, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// editDistance returns the Levenshtein distance of two strings: how many bytes must be inserted,
// removed or replaced to turn one into the other [Levenshtein 1966].
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost++
			}
			last = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
