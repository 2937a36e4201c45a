package settings

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// lookup returns the value of a dotted key and whether the key is set.
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

// setKey sets the value of a dotted key and creates the tables around it as needed.
func setKey(tree map[string]any, key string, v any) {
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

// formatTOML formats a value in TOML syntax on one line, a table as its entries separated by
// commas.
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

// keyLines returns the line of each key, except for those within inline arrays and tables. The text
// must be valid TOML.
func keyLines(text []byte) map[string]int {
	lines, count := map[string]int{}, map[string]int{} // count has the number of tables [[key]]
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		e := p.Expression()
		key, line := expressionKey(&p, e)
		if e.Kind == unstable.ArrayTable {
			item := count[key]
			count[key]++
			key = fmt.Sprintf("%s[%d]", key, item)
		}
		switch e.Kind {
		case unstable.KeyValue:
			key = prefix + key
		case unstable.Table, unstable.ArrayTable:
			prefix = key + "."
		}
		if lines[key] == 0 {
			lines[key] = line
		}
	}
	return lines
}

// expressionKey returns the dotted key of an expression and the line that it starts on.
func expressionKey(p *unstable.Parser, e *unstable.Node) (key string, line int) {
	for it := e.Key(); it.Next(); {
		n := it.Node()
		if line == 0 {
			line = p.Shape(n.Raw).Start.Line
		}
		key += "." + string(n.Data)
	}
	return strings.TrimPrefix(key, "."), line
}
