// Package settings parses the TOML settings file with which operators configure a dispatcher.
// Values that the platform's JSON file can also hold are converted to the form of that file, so
// that the rest of the program reads both in the same way; the other values have types of this
// package. Package config calls it. It keeps no state and is safe for concurrent use.
//
// Parse reports all errors of a file at once, each with file, line, key and reason.
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

// KeyError is one error in a settings file.
type KeyError struct {
	Path   string
	Line   int    // 0 if unknown
	Key    string // dotted, with [i] for the items of lists; empty for a syntax error
	Reason string
}

// Error formats the error as FILE:LINE: KEY: REASON and leaves out an unknown line and an empty
// key.
func (e KeyError) Error() string {
	position := e.Path
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.Path, e.Line)
	}
	if e.Key == "" {
		return position + ": " + e.Reason
	}
	return fmt.Sprintf("%s: %s: %s", position, e.Key, e.Reason)
}

// Read reads and parses a settings file. If its content is invalid, it returns the error of Parse.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and validates the content of a settings file. The path is used only in errors and in
// Value.Source. The error of an invalid file joins a KeyError for each mistake, sorted by line.
func Parse(path string, text []byte) (*File, error) {
	var tree map[string]any
	if err := toml.Unmarshal(text, &tree); err != nil {
		return nil, syntaxError(path, err)
	}
	r := &reader{path: path, lines: keyLines(text), parsed: map[string]any{}, platform: map[string]any{}, knownKeys: map[string]bool{}}
	r.readFields(schema, "", tree, r.platform)
	zones, kinds := r.readFleet(tree)
	r.checkGearman(zones, kinds)
	r.checkState()
	r.checkCluster()
	r.readClasses(tree["class"], kinds)
	r.readTenants(tree["tenant"])
	r.readRunners(tree["runner"], zones, kinds)
	r.findUnknownKeys("", tree)
	if err := r.err(); err != nil {
		return nil, err
	}
	return &File{
		Path:      path,
		Platform:  r.platform,
		Log:       Log{Level: valueOf[string](r, "log.level"), Format: valueOf[string](r, "log.format")},
		State:     r.state(),
		Cluster:   r.cluster(),
		Gang:      r.gang(),
		Gearman:   r.gearman(),
		Telemetry: r.telemetry(),
		Values:    r.values,
	}, nil
}

// syntaxError returns the KeyError for content that is not valid TOML.
func syntaxError(path string, err error) error {
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return KeyError{Path: path, Line: line, Reason: strings.TrimPrefix(decodeErr.Error(), "toml: ")}
	}
	return KeyError{Path: path, Reason: err.Error()}
}

// reader collects the values and errors of a file while it is parsed.
type reader struct {
	path      string
	lines     map[string]int // of each key, counted from 1
	platform  map[string]any // values in the form of the platform's JSON file
	parsed    map[string]any // parsed values of all keys, defaults included
	knownKeys map[string]bool
	values    []Value
	keyErrors []KeyError
}

// err joins the collected errors, sorted by line. It returns nil if there are none.
func (r *reader) err() error {
	slices.SortStableFunc(r.keyErrors, func(a, b KeyError) int { return cmp.Compare(a.Line, b.Line) })
	var all []error
	for _, e := range r.keyErrors {
		all = append(all, e)
	}
	return errors.Join(all...)
}

// addError adds an error for a key. If the line of the key is unknown, it uses that of the
// innermost enclosing table whose line is known.
func (r *reader) addError(key, reason string) {
	line := r.lines[key]
	for enclosing := key; line == 0 && enclosing != ""; {
		end := strings.LastIndexAny(enclosing, ".[")
		enclosing = enclosing[:max(end, 0)]
		line = r.lines[enclosing]
	}
	r.keyErrors = append(r.keyErrors, KeyError{Path: r.path, Line: line, Key: key, Reason: reason})
}

// readFields parses the keys of one table into r.parsed, and those with a platform key also into
// platform. A key that the table lacks gets its default.
func (r *reader) readFields(fields []field, prefix string, tree, platform map[string]any) {
	for _, f := range fields {
		key := prefix + f.key
		r.knownKeys[key] = true
		v, present := lookup(tree, f.key)
		source := "default"
		if present {
			source = fmt.Sprintf("%s:%d", r.path, r.lines[key])
		} else if v = f.defaultValue; v == nil {
			if prefix != "" && requiredKeys[f.key] {
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
			setKey(platform, f.platformKey, parsed)
		}
		r.parsed[key] = parsed
		text := formatTOML(v)
		if secretKeys[key] {
			text = "(not shown)"
		}
		r.values = append(r.values, Value{Key: key, Text: text, Source: source, PlatformKey: f.platformKey})
	}
}

// checkGearman reports missing and contradictory values of the Gearman server.
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
		if name := valueOf[string](r, "gearman."+key); name != "" && !slices.Contains(names, any(name)) {
			r.addError("gearman."+key, fmt.Sprintf("%q is not among fleet.%ss", name, key))
		}
	}
}

// checkState reports age limits that are not in ascending order.
func (r *reader) checkState() {
	s := r.state()
	if s.Fresh > s.Old || s.Old > s.Max {
		r.addError("state.old", "the ages fresh, old and max_age don't rise")
	}
}
