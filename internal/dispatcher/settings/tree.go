package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lookup finds a dotted key.
func lookup(tree map[string]any, key string) (any, bool) {
	for {
		first, rest, more := strings.Cut(key, ".")
		v, ok := tree[first]
		if !more || !ok {
			return v, ok
		}
		if tree, ok = v.(map[string]any); !ok {
			return nil, false
		}
		key = rest
	}
}

// set puts a value at a dotted key.
func set(tree map[string]any, key string, v any) {
	for {
		first, rest, more := strings.Cut(key, ".")
		if !more {
			tree[first] = v
			return
		}
		next, _ := tree[first].(map[string]any)
		if next == nil {
			next = map[string]any{}
			tree[first] = next
		}
		tree, key = next, rest
	}
}

// formatTOML writes a value as TOML would.
func formatTOML(v any) string {
	text, err := toml.Marshal(map[string]any{"v": v})
	if err != nil {
		return fmt.Sprint(v)
	}
	out := strings.TrimSpace(string(text))
	if _, is := v.(map[string]any); is {
		return strings.ReplaceAll(strings.TrimPrefix(out, "[v]\n"), "\n", ", ")
	}
	return strings.TrimPrefix(out, "v = ")
}

// keyLines returns the line of each key. The text has been read before, so that it
// holds no mistake.
func keyLines(text []byte) map[string]int {
	lines, count := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		key, line := "", 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
			key += "." + string(n.Data)
			if it.IsLast() && e.Kind == unstable.ArrayTable {
				key = strings.TrimPrefix(key, ".")
				key = fmt.Sprintf("%s[%d]", key, count[key])
				count[key[:strings.LastIndex(key, "[")]]++
			}
		}
		key = strings.TrimPrefix(key, ".")
		switch e.Kind {
		case unstable.KeyValue:
			key = prefix + key
		case unstable.Table, unstable.ArrayTable:
			prefix = key + "."
		}
		if lines[key] == 0 {
			lines[key] = line
		}
		// The items of inline lists and tables go by the line of what holds them.
	}
	return lines
}
