// Package settings reads the TOML file in which operators configure an installation in plain words and units. Values that
// the platform's JSON file can hold too are brought into that file's form, so that both are read in the same way from
// there on; the others have types of this package. Package config calls it. It has no state and is safe for concurrent
// use.
//
// All errors of a file are returned at once, each with file, line, key and reason.
package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// KeyError is one error of a file.
type KeyError struct {
	Path   string
	Line   int // 0 if none can be named
	Key    string
	Reason string
}

// Error returns the error as FILE:LINE: KEY: REASON, without the line or the key if there is none.
func (e KeyError) Error() string {
	at := e.Path
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.Path, e.Line)
	}
	if e.Key == "" {
		return at + ": " + e.Reason
	}
	return fmt.Sprintf("%s: %s: %s", at, e.Key, e.Reason)
}

// Read reads a file. The error of its content joins all KeyErrors.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's content. The path is used in errors and sources only.
func Parse(path string, text []byte) (*File, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, syntaxError(path, err)
	}
	r := &reader{path: path, lines: keyLines(text), own: map[string]any{}, platform: map[string]any{}, knownKeys: map[string]bool{}}
	r.fields(schema, "", tree, r.platform)
	zones, kinds := r.fleet(tree)
	r.checkGearman(zones, kinds)
	r.checkState()
	r.checkCluster()
	r.classes(tree["class"], kinds)
	r.tenants(tree["tenant"])
	r.runners(tree["runner"], zones, kinds)
	r.findUnknownKeys("", tree)
	if err := r.err(); err != nil {
		return nil, err
	}
	return &File{
		Path:      path,
		Platform:  r.platform,
		Log:       Log{Level: ownValue[string](r, "log.level"), Format: ownValue[string](r, "log.format")},
		State:     r.state(),
		Cluster:   r.cluster(),
		Gang:      r.gang(),
		Gearman:   r.gearman(),
		Telemetry: r.telemetry(),
		Values:    r.values,
	}, nil
}

// syntaxError returns the KeyError of a file that is no TOML.
func syntaxError(path string, err error) error {
	var at *toml.DecodeError
	if errors.As(err, &at) {
		line, _ := at.Position()
		return KeyError{Path: path, Line: line, Reason: strings.TrimPrefix(at.Error(), "toml: ")}
	}
	return KeyError{Path: path, Reason: err.Error()}
}

// reader collects a file's values and errors.
type reader struct {
	path      string
	lines     map[string]int // of keys, from 1
	platform  map[string]any // values in the platform's form
	own       map[string]any // all values, by key
	knownKeys map[string]bool
	values    []Value
	keyErrors []KeyError
}

// err returns the errors by line, nil if there is none.
func (r *reader) err() error {
	slices.SortStableFunc(r.keyErrors, func(a, b KeyError) int { return cmp.Compare(a.Line, b.Line) })
	var all []error
	for _, e := range r.keyErrors {
		all = append(all, e)
	}
	return errors.Join(all...)
}

// addError adds an error of a key, with the line of the key or of the nearest table around it that has one.
func (r *reader) addError(key, reason string) {
	line := r.lines[key]
	for at := key; line == 0 && at != ""; {
		end := strings.LastIndexAny(at, ".[")
		at = at[:max(end, 0)]
		line = r.lines[at]
	}
	r.keyErrors = append(r.keyErrors, KeyError{Path: r.path, Line: line, Key: key, Reason: reason})
}

// fields reads the keys of one table into own and the platform's form. A key that the table lacks has its default.
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
		parsed, err := f.parse(v)
		if err != nil {
			r.addError(key, err.Error())
			continue
		}
		if f.platformKey != "" {
			set(platform, f.platformKey, parsed)
		}
		r.own[key] = parsed
		text := formatTOML(v)
		if secret[key] {
			text = "(not shown)"
		}
		r.values = append(r.values, Value{Key: key, Text: text, Source: source, PlatformKey: f.platformKey})
	}
}

// checkGearman finds values of Gearman that contradict each other.
func (r *reader) checkGearman(zones, kinds []any) {
	g := r.gearman()
	if g.Listen == "" {
		return
	}
	if len(g.Functions) == 0 {
		r.addError("gearman.functions", "a front without functions serves nobody")
	}
	if (g.Certificate == "") != (g.Key == "") {
		r.addError("gearman.key", "a certificate and its key go together")
	}
	for key, names := range map[string][]any{"zone": zones, "kind": kinds} {
		if name := ownValue[string](r, "gearman."+key); name != "" && !slices.Contains(names, any(name)) {
			r.addError("gearman."+key, fmt.Sprintf("%q is not among fleet.%ss", name, key))
		}
	}
}

// checkState finds ages that do not rise.
func (r *reader) checkState() {
	s := r.state()
	if s.Fresh > s.Old || s.Old > s.Max {
		r.addError("state.old", "the ages fresh, old and max_age don't rise")
	}
}
