// Package settings reads the TOML file in which an installation says everything in
// plain words and units. What the platform's JSON file can say too is brought into that
// file's form, so that both go the same way from there; the rest is of this package's
// own types. All mistakes are told at once, each with file, line, key and reason.
package settings

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is what a file says.
type File struct {
	Path      string
	Platform  map[string]any // in the form of the platform's JSON file
	Log       Log
	State     State
	Cluster   Cluster
	Gearman   Gearman
	Telemetry Telemetry
	Values    []Value // of each key, for whoever wants to see what is in force
}

// Log says how the program logs.
type Log struct {
	Level, Format string
}

// Gearman says how Gearman's clients and workers are served.
type Gearman struct {
	Listen                    string            // empty for not at all
	Functions                 map[string]string // the class of each
	Zone, Kind                string            // of the workers
	Connections, Jobs, Packet int64
	Certificate, Key, Clients string // files
}

// State says what is kept on disk of the runners.
type State struct {
	Dir             string // empty for nothing
	Generations     int64
	Every           time.Duration // least time between two generations
	Fresh, Old, Max time.Duration // the bounds of ages
	DoubtFor        time.Duration // how long a list is doubted at most
	DoubtShare      float64       // of what is known that a list may lack after an outage
}

// Telemetry says what is told to collectors. Nil and empty fields leave the word to the
// environment and the defaults.
type Telemetry struct {
	Service    string
	Attributes map[string]string
	Plain      *float64 // share of plain traces that are kept
	Every      time.Duration
	BatchEvery time.Duration
	Queue      int64 // bytes
	OTLP       OTLP
	File       TraceFile
}

// OTLP names a collector.
type OTLP struct {
	Endpoint, Protocol, Compression           string
	Headers                                   map[string]string
	Timeout                                   time.Duration
	Certificate, ClientCertificate, ClientKey string
	Traces, Measures                          *bool
}

// TraceFile names a file that takes the place of a collector, or stands beside it.
type TraceFile struct {
	Path  string
	Size  int64 // bytes; the file is rotated past it
	Files int64 // kept at most, the one being written among them
}

// Value is one key's value and where it comes from.
type Value struct {
	Key    string // with [i] for the items of lists
	Text   string
	Source string // "default", or the file and the line
	To     string // the key of the platform's form that goes before this one; empty for none
}

// Mistake is one thing that is wrong with a file.
type Mistake struct {
	Path   string
	Line   int // 0 where no line can be named
	Key    string
	Reason string
}

func (m Mistake) Error() string {
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
			return nil, Mistake{Path: path, Line: line, Reason: strings.TrimPrefix(at.Error(), "toml: ")}
		}
		return nil, Mistake{Path: path, Reason: err.Error()}
	}
	r := &reader{path: path, lines: positions(text), own: map[string]any{},
		platform: map[string]any{}, seen: map[string]bool{}}
	r.fields(schema, "", tree, r.platform)
	zones, kinds := r.fleet(tree)
	if g := r.gearman(); g.Listen != "" {
		if len(g.Functions) == 0 {
			r.wrong("gearman.functions", "a front without functions serves nobody")
		}
		if (g.Certificate == "") != (g.Key == "") {
			r.wrong("gearman.key", "a certificate and its key go together")
		}
		for key, of := range map[string][]any{"zone": zones, "kind": kinds} {
			if name := own[string](r, "gearman."+key); name != "" && !slices.Contains(of, any(name)) {
				r.wrong("gearman."+key, fmt.Sprintf("%q is not among fleet.%ss", name, key))
			}
		}
	}
	if f, o, m := own[time.Duration](r, "state.fresh"), own[time.Duration](r, "state.old"), own[time.Duration](r, "state.max_age"); f > o || o > m {
		r.wrong("state.old", "the ages fresh, old and max_age don't rise")
	}
	r.clusterMistakes()
	r.classes(tree["class"], kinds)
	r.tenants(tree["tenant"])
	r.runners(tree["runner"], zones, kinds)
	r.strangers("", tree)
	if len(r.mistakes) > 0 {
		slices.SortStableFunc(r.mistakes, func(a, b Mistake) int { return a.Line - b.Line })
		var all []error
		for _, m := range r.mistakes {
			all = append(all, m)
		}
		return nil, errors.Join(all...)
	}
	return &File{Path: path, Platform: r.platform, Values: r.values, Telemetry: r.telemetry(), State: r.state(), Cluster: r.cluster(), Gearman: r.gearman(),
		Log: Log{Level: own[string](r, "log.level"), Format: own[string](r, "log.format")}}, nil
}

// reader gathers what a file says and what is wrong with it.
type reader struct {
	path     string
	lines    map[string]int
	platform map[string]any
	own      map[string]any
	seen     map[string]bool
	values   []Value
	mistakes []Mistake
}

func (r *reader) wrong(key, reason string) {
	line := r.lines[key]
	for at := key; line == 0 && at != ""; { // the nearest table that has a line
		cut := strings.LastIndexAny(at, ".[")
		at = at[:max(cut, 0)]
		line = r.lines[at]
	}
	r.mistakes = append(r.mistakes, Mistake{Path: r.path, Line: line, Key: key, Reason: reason})
}

// fields reads the keys of one table, and gives those that are not there their default.
func (r *reader) fields(of []field, prefix string, tree, platform map[string]any) {
	for _, f := range of {
		key := prefix + f.key
		r.seen[key] = true
		v, there := lookup(tree, f.key)
		source := "default"
		if there {
			source = fmt.Sprintf("%s:%d", r.path, r.lines[key])
		} else if v = f.fallback; v == nil {
			if prefix != "" && required[f.key] {
				r.wrong(key, "it is missing")
			}
			continue
		}
		out, err := f.read(v)
		if err != nil {
			r.wrong(key, err.Error())
			continue
		}
		if f.to != "" {
			set(platform, f.to, out)
		}
		r.own[key] = out
		text := show(v)
		if secret[key] {
			text = "(not shown)"
		}
		r.values = append(r.values, Value{Key: key, Text: text, Source: source, To: f.to})
	}
}

// fleet reads what the names of zones and kinds lead to.
func (r *reader) fleet(tree map[string]any) (zones, kinds []any) {
	zones, _ = r.own["fleet.zones"].([]any)
	kinds, _ = r.own["fleet.kinds"].([]any)
	settings := r.platform["settings"].(map[string]any)
	zone, given := r.own["fleet.zone"].(string)
	if i := slices.Index(zones, any(zone)); given && i < 0 {
		r.wrong("fleet.zone", fmt.Sprintf("%q is not among fleet.zones", zone))
	} else {
		settings["zone"] = max(i, 0)
	}
	settings["weights"] = "none"
	many, named := r.own["fleet.dispatchers"].(int64)
	if number, _ := r.own["fleet.number"].(int64); number >= max(many, 1) && (named || number > 0) {
		r.wrong("fleet.number", fmt.Sprintf("%d is not the number of one of %d dispatchers, which count from 0", number, max(many, 1)))
	}
	if r.own["fleet.weights"] == true {
		settings["weights"] = "listed"
	}
	columns, _ := r.own["probes.columns"].([]any)
	family := settings["family-info"].(map[string]any)
	free, named := r.own["probes.free_slots"].(string)
	if named {
		if !slices.Contains(columns, any(free)) {
			r.wrong("probes.free_slots", fmt.Sprintf("%q is not among probes.columns", free))
		}
		family["report-"+free] = "free slots"
	}
	if err := knownColumns(slices.DeleteFunc(slices.Clone(columns), func(c any) bool { return named && c == free })); err != nil {
		r.wrong("probes.columns", err.Error())
	}
	if r.own["probes.report"] != "none" && len(columns) == 0 {
		r.wrong("probes.report", "probes.columns does not say what the reports hold")
	}
	settings["discovery"] = "none"
	if _, found := lookup(tree, "discovery.address"); found {
		settings["discovery"] = map[any]string{"asked": "on_request", "pushed": "pushed"}[r.own["discovery.list"]]
		if _, list := tree["runner"]; list {
			r.wrong("runner", "a fixed list goes without discovery; leave one of them out")
		}
	}
	return zones, kinds
}

func (r *reader) classes(v any, kinds []any) {
	settings := r.platform["settings"].(map[string]any)
	family, _ := settings["family-info"].(map[string]any)
	var list, ofKind, priorities []any
	for i, tree := range r.tables("class", v) {
		prefix, class := fmt.Sprintf("class[%d].", i), map[string]any{}
		r.fields(classes, prefix, tree, class)
		kind := -1
		if name, given := r.own[prefix+"kind"].(string); given {
			if kind = slices.Index(kinds, any(name)); kind < 0 {
				r.wrong(prefix+"kind", fmt.Sprintf("%q is not among fleet.kinds", name))
			}
		}
		if r.own[prefix+"effect"] == "keyed" && r.own[prefix+"window"] == int64(0) {
			r.wrong(prefix+"window", "a keyed class needs the time for which repeats are dropped")
		}
		r.twice("class", "name", i)
		list, ofKind, priorities = append(list, class), append(ofKind, kind), append(priorities, r.own[prefix+"priority"])
	}
	if family == nil {
		family = map[string]any{}
		settings["family-info"] = family
	}
	if len(list) > 0 {
		settings["request-classes"], family["class-kind"], family["class-priority"] = list, ofKind, priorities
	}
}

// tenants reads who shares the fleet, and what each one's share is.
func (r *reader) tenants(v any) {
	list := []any{}
	for i, tree := range r.tables("tenant", v) {
		prefix, tenant := fmt.Sprintf("tenant[%d].", i), map[string]any{}
		r.fields(tenants, prefix, tree, tenant)
		r.twice("tenant", "name", i)
		list = append(list, tenant)
	}
	r.platform["settings"].(map[string]any)["tenants"] = list
}

// twice finds a value of an item of a list that an earlier one has too.
func (r *reader) twice(list, key string, i int) {
	at := func(j int) string { return fmt.Sprintf("%s[%d].%s", list, j, key) }
	for j := range i {
		if v := r.own[at(i)]; v != nil && v == r.own[at(j)] {
			r.wrong(at(i), fmt.Sprintf("%q is there twice", v))
		}
	}
}

func (r *reader) runners(v any, zones, kinds []any) {
	var list []any
	for i, tree := range r.tables("runner", v) {
		prefix, runner := fmt.Sprintf("runner[%d].", i), map[string]any{"state": "SERVING", "boot_ms": 0}
		r.fields(runners, prefix, tree, runner)
		for _, named := range []struct {
			key  string
			list []any
		}{{"zone", zones}, {"kind", kinds}} {
			if name := r.own[prefix+named.key]; name != nil && !slices.Contains(named.list, name) {
				r.wrong(prefix+named.key, fmt.Sprintf("%q is not among fleet.%ss", name, named.key))
			}
		}
		r.twice("runner", "id", i)
		list = append(list, runner)
	}
	if len(list) > 0 {
		r.platform["known"] = map[string]any{"rev": 0, "all": true, "targets": list}
	}
}

// tables returns the items of [[key]].
func (r *reader) tables(key string, v any) (out []map[string]any) {
	list, ok := v.([]any)
	if v != nil && !ok {
		r.wrong(key, "it is written [["+key+"]], once for each")
	}
	for i, item := range list {
		t, ok := item.(map[string]any)
		if !ok {
			r.wrong(fmt.Sprintf("%s[%d]", key, i), "it is no table")
		}
		out = append(out, t)
	}
	return out
}

// strangers finds the keys that nobody has read.
func (r *reader) strangers(prefix string, tree map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		key := prefix + name
		if r.seen[key] {
			continue
		}
		switch v := tree[name].(type) {
		case map[string]any:
			if r.parent(key) {
				r.strangers(key+".", v)
				continue
			}
		case []any:
			if prefix == "" && (name == "class" || name == "runner" || name == "tenant") {
				for i, item := range v {
					if t, ok := item.(map[string]any); ok {
						r.strangers(fmt.Sprintf("%s[%d].", name, i), t)
					}
				}
				continue
			}
		}
		if r.parent(key) {
			r.wrong(key, "it is written as a table, ["+key+"]")
			continue
		}
		r.wrong(key, "there is no such key"+r.like(key))
	}
}

// parent tells whether a key is a table that holds known keys.
func (r *reader) parent(key string) bool {
	for known := range r.seen {
		if strings.HasPrefix(known, key+".") {
			return true
		}
	}
	return false
}

// like proposes a key that a stranger may have been meant as: one of the same table
// that differs in at most two letters.
func (r *reader) like(key string) string {
	best, least := "", 3
	for _, known := range slices.Sorted(maps.Keys(r.seen)) {
		if d := distance(key, known); d < least {
			best, least = known, d
		}
	}
	if best == "" {
		return ""
	}
	return "; did you mean " + best + "?"
}

// distance returns how many letters have to be put in, taken out or changed to get from
// one word to the other (Levenshtein).
func distance(a, b string) int {
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

// own returns a value that stays here; the zero one where the file does not say it.
func own[T any](r *reader, key string) T {
	v, _ := r.own[key].(T)
	return v
}

// maybe returns the same, nil where the file does not say it.
func maybe[T any](r *reader, key string) *T {
	if v, ok := r.own[key].(T); ok {
		return &v
	}
	return nil
}

func (r *reader) gearman() Gearman {
	const g = "gearman."
	return Gearman{Listen: own[string](r, g+"listen"), Functions: own[map[string]string](r, g+"functions"), Zone: own[string](r, g+"zone"),
		Kind: own[string](r, g+"kind"), Connections: own[int64](r, g+"connections"), Jobs: own[int64](r, g+"jobs"),
		Packet: own[int64](r, g+"packet"), Certificate: own[string](r, g+"certificate"), Key: own[string](r, g+"key"),
		Clients: own[string](r, g+"client_certificates")}
}

func (r *reader) state() State {
	return State{Dir: own[string](r, "state.dir"), Generations: own[int64](r, "state.generations"),
		Every: own[time.Duration](r, "state.every"), Fresh: own[time.Duration](r, "state.fresh"),
		Old: own[time.Duration](r, "state.old"), Max: own[time.Duration](r, "state.max_age"),
		DoubtFor: own[time.Duration](r, "state.doubt_for"), DoubtShare: own[float64](r, "state.doubt_share")}
}

// DefaultStateGenerations is how many generations are kept without a word.
const DefaultStateGenerations = 3

// DefaultState is what a file without a word says.
func DefaultState() State {
	r := &reader{platform: map[string]any{}, own: map[string]any{}, seen: map[string]bool{}}
	r.fields(schema, "", nil, r.platform)
	return r.state()
}

func (r *reader) telemetry() Telemetry {
	const otlp, file = "telemetry.otlp.", "telemetry.file."
	return Telemetry{
		Service: own[string](r, "telemetry.service"), Attributes: own[map[string]string](r, "telemetry.attributes"),
		Plain: maybe[float64](r, "telemetry.plain"), Every: own[time.Duration](r, "telemetry.measures_every"),
		BatchEvery: own[time.Duration](r, "telemetry.batch_every"), Queue: own[int64](r, "telemetry.queue"),
		OTLP: OTLP{
			Endpoint: own[string](r, otlp+"endpoint"), Protocol: own[string](r, otlp+"protocol"),
			Compression: own[string](r, otlp+"compression"), Headers: own[map[string]string](r, otlp+"headers"),
			Timeout: own[time.Duration](r, otlp+"timeout"), Certificate: own[string](r, otlp+"certificate"),
			ClientCertificate: own[string](r, otlp+"client_certificate"), ClientKey: own[string](r, otlp+"client_key"),
			Traces: maybe[bool](r, otlp+"traces"), Measures: maybe[bool](r, otlp+"measures"),
		},
		File: TraceFile{Path: own[string](r, file+"path"), Size: own[int64](r, file+"max_size"), Files: own[int64](r, file+"max_files")},
	}
}

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

// show writes a value as TOML would.
func show(v any) string {
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

// positions returns the line of each key. The text has been read before, so that it
// holds no mistake.
func positions(text []byte) map[string]int {
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
