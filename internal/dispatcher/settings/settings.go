// Package settings reads the TOML file in which an installation says everything in
// plain words and units. What the platform's JSON file can say too is brought into that
// file's form, so that both go the same way from there; the rest is of this package's
// own types. All mistakes are told at once, each with file, line, key and reason.
package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// KeyError is one thing that is wrong with a file.
type KeyError struct {
	Path   string
	Line   int // 0 where no line can be named
	Key    string
	Reason string
}

// Error returns the mistake with its place, as FILE:LINE: KEY: REASON, as far as these are known.
func (m KeyError) Error() string {
	at := m.Path
	if m.Line > 0 {
		at = fmt.Sprintf("%s:%d", m.Path, m.Line)
	}
	if m.Key == "" {
		return at + ": " + m.Reason
	}
	return fmt.Sprintf("%s: %s: %s", at, m.Key, m.Reason)
}

// Read reads a file. Its error joins every Mistake there is.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text; the path is only named in what it says.
func Parse(path string, text []byte) (*File, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		var at *toml.DecodeError
		if errors.As(err, &at) {
			line, _ := at.Position()
			return nil, KeyError{Path: path, Line: line, Reason: strings.TrimPrefix(at.Error(), "toml: ")}
		}
		return nil, KeyError{Path: path, Reason: err.Error()}
	}
	r := &reader{path: path, lines: keyLines(text), own: map[string]any{},
		platform: map[string]any{}, knownKeys: map[string]bool{}}
	r.fields(schema, "", tree, r.platform)
	zones, kinds := r.fleet(tree)
	if g := r.gearman(); g.Listen != "" {
		if len(g.Functions) == 0 {
			r.addError("gearman.functions", "a front without functions serves nobody")
		}
		if (g.Certificate == "") != (g.Key == "") {
			r.addError("gearman.key", "a certificate and its key go together")
		}
		for key, of := range map[string][]any{"zone": zones, "kind": kinds} {
			if name := ownValue[string](r, "gearman."+key); name != "" && !slices.Contains(of, any(name)) {
				r.addError("gearman."+key, fmt.Sprintf("%q is not among fleet.%ss", name, key))
			}
		}
	}
	if f, o, m := ownValue[time.Duration](r, "state.fresh"), ownValue[time.Duration](r, "state.old"), ownValue[time.Duration](r, "state.max_age"); f > o || o > m {
		r.addError("state.old", "the ages fresh, old and max_age don't rise")
	}
	r.checkCluster()
	r.classes(tree["class"], kinds)
	r.tenants(tree["tenant"])
	r.runners(tree["runner"], zones, kinds)
	r.findUnknownKeys("", tree)
	if len(r.keyErrors) > 0 {
		slices.SortStableFunc(r.keyErrors, func(a, b KeyError) int { return a.Line - b.Line })
		var all []error
		for _, m := range r.keyErrors {
			all = append(all, m)
		}
		return nil, errors.Join(all...)
	}
	return &File{Path: path, Platform: r.platform, Values: r.values, Telemetry: r.telemetry(), State: r.state(), Cluster: r.cluster(), Gang: r.gang(), Gearman: r.gearman(),
		Log: Log{Level: ownValue[string](r, "log.level"), Format: ownValue[string](r, "log.format")}}, nil
}

// reader gathers what a file says and what is wrong with it.
type reader struct {
	path      string
	lines     map[string]int
	platform  map[string]any
	own       map[string]any
	knownKeys map[string]bool
	values    []Value
	keyErrors []KeyError
}

func (r *reader) addError(key, reason string) {
	line := r.lines[key]
	for at := key; line == 0 && at != ""; { // the nearest table that has a line
		cut := strings.LastIndexAny(at, ".[")
		at = at[:max(cut, 0)]
		line = r.lines[at]
	}
	r.keyErrors = append(r.keyErrors, KeyError{Path: r.path, Line: line, Key: key, Reason: reason})
}

// fields reads the keys of one table, and gives those that are not there their default.
func (r *reader) fields(of []field, prefix string, tree, platform map[string]any) {
	for _, f := range of {
		key := prefix + f.key
		r.knownKeys[key] = true
		v, present := lookup(tree, f.key)
		source := "default"
		if present {
			source = fmt.Sprintf("%s:%d", r.path, r.lines[key])
		} else if v = f.fallback; v == nil {
			if prefix != "" && required[f.key] {
				r.addError(key, "it is missing")
			}
			continue
		}
		out, err := f.parse(v)
		if err != nil {
			r.addError(key, err.Error())
			continue
		}
		if f.platformKey != "" {
			set(platform, f.platformKey, out)
		}
		r.own[key] = out
		text := formatTOML(v)
		if secret[key] {
			text = "(not shown)"
		}
		r.values = append(r.values, Value{Key: key, Text: text, Source: source, PlatformKey: f.platformKey})
	}
}
