// Package config reads what the platform tells a dispatcher at its start: the
// environment and the file that it names. Everything is checked here, so that a
// mistake ends the start with one plain line.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"frosttide/decision"
	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/wire"
)

// Limits are the bounds of the machine that the dispatcher runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what a dispatcher is told when it starts.
type Config struct {
	Name           string
	Listen         string
	Discovery      string
	Console        string // the operators' address; empty for none
	ListenFD       int    // the descriptor of a listening socket that the platform holds; 0 for none
	Seed           uint64
	Limits         Limits
	KnownMembers   json.RawMessage // the list as last held, in discovery's form; it may be old or absent
	Module         decision.Config
	Names          wire.Names
	RemovedClasses []bool // by class: the file in force has it no more
	Log            settings.Log
	Telemetry      export.Options
	State          settings.State
	Cluster        settings.Cluster
	Gang           settings.Gang
	Gearman        settings.Gearman
	Warnings       []string // values of the environment that are passed over

	keys map[string]any // the file, as it is
}

// file is the form of $BALANCER_CONFIG.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Console   string          `json:"console"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// MinSockets is the least number of descriptors a dispatcher can work with.
const MinSockets = 64

// Load reads the environment and the files. Source says whose word counts.
func Load(source Source) (Config, error) {
	c, err := load(source, false)
	c.RemovedClasses = make([]bool, len(c.Names.Classes))
	return c, err
}

// Reload reads the same again after a start and lays it over the configuration in
// force. Guards against a new file that changes nothing: the environment of a running
// process is that of its start, so here the file's discovery goes before it. The file
// is turned down whole if anything in it can't be meant.
func (c Config) Reload(source Source) (Config, error) {
	next, err := load(source, true)
	if err != nil {
		return Config{}, err
	}
	if key := missingKey(c.keys, next.keys); key != "" {
		return Config{}, fmt.Errorf("%s is missing", key)
	}
	if next.Module.Limits.MaxAttempts <= 0 {
		return Config{}, errors.New("settings: policy-limits.send-cap is no number above 0")
	}
	for i, class := range next.Module.Classes {
		if class.ClientTimeout <= 0 {
			return Config{}, fmt.Errorf("settings: request-classes[%d].give-up is no number above 0", i)
		}
		if slices.Index(next.Names.Classes, next.Names.Classes[i]) < i {
			return Config{}, fmt.Errorf("settings: request-classes[%d].name is there twice", i)
		}
	}
	return c.renumberClasses(next), nil
}

// renumberClasses numbers the classes of the next configuration as this one does: by name, new
// ones after all others. One that is gone keeps its number, as jobs of it may be open.
func (c Config) renumberClasses(next Config) Config {
	classes, names := slices.Clone(c.Module.Classes), slices.Clone(c.Names.Classes)
	removed := slices.Repeat([]bool{true}, len(names))
	for i, name := range next.Names.Classes {
		n := slices.Index(names, name)
		if n < 0 {
			n = len(names)
			names, classes, removed = append(names, name), append(classes, decision.Class{}), append(removed, false)
		}
		classes[n], removed[n] = next.Module.Classes[i], false
	}
	next.Names.Classes, next.Module.Classes, next.RemovedClasses = names, classes, removed
	return next
}

// KeepStartOnly returns the next configuration with what only a start can take as it is in this
// one, and the names of what differs there.
func (c Config) KeepStartOnly(next Config) (Config, []string) {
	var startOnly []string
	keep := func(name string, same bool) {
		if !same {
			startOnly = append(startOnly, name)
		}
	}
	keep("name", c.Name == next.Name)
	keep("listen", c.Listen == next.Listen)
	keep("console", c.Console == next.Console)
	keep("limits", c.Limits == next.Limits)
	keep("zones", slices.Equal(c.Names.Zones, next.Names.Zones))
	keep("kinds", slices.Equal(c.Names.Kinds, next.Names.Kinds))
	keep("report", slices.Equal(c.Names.Columns, next.Names.Columns) && slices.Equal(c.Module.Metrics, next.Module.Metrics))
	keep("keepalive", c.Names.Keepalive == next.Names.Keepalive)
	keep("connect-timeout", c.Module.Limits.ConnectTimeout == next.Module.Limits.ConnectTimeout)
	keep("me", c.Module.Instance == next.Module.Instance)
	keep("zone", c.Module.Zone == next.Module.Zone)
	keep("state", c.State == next.State)
	same := c.Gearman.Listen == next.Gearman.Listen && c.Gearman.Zone == next.Gearman.Zone && c.Gearman.Kind == next.Gearman.Kind &&
		c.Gearman.Connections == next.Gearman.Connections && c.Gearman.Jobs == next.Gearman.Jobs &&
		c.Gearman.Packet == next.Gearman.Packet && (c.Gearman.Certificate == "") == (next.Gearman.Certificate == "")
	keep("gearman", same)
	if g := next.Gearman; !same {
		next.Gearman = c.Gearman
		next.Gearman.Functions = g.Functions
	}
	keep("discovery's way", c.Module.PullMembers == next.Module.PullMembers && c.Names.Pushed == next.Names.Pushed)
	keep("cluster", c.Cluster.Listen == next.Cluster.Listen && c.Cluster.Advertise == next.Cluster.Advertise && c.Cluster.Dir == next.Cluster.Dir && c.Cluster.WatermarkDir == next.Cluster.WatermarkDir && c.Cluster.StagedRejoin == next.Cluster.StagedRejoin && c.Cluster.Workflows == next.Cluster.Workflows && c.Cluster.MaxCompensations == next.Cluster.MaxCompensations && c.Cluster.PacedAdmission == next.Cluster.PacedAdmission &&
		c.Cluster.Discovery == next.Cluster.Discovery && slices.Equal(c.Cluster.Join, next.Cluster.Join) && slices.Equal(c.Cluster.Voters, next.Cluster.Voters))
	keep("gang", c.Gang == next.Gang)
	next.State, next.Cluster, next.Gang = c.State, c.Cluster, c.Gang
	names, tenants := next.Names.Classes, next.Names.Tenants
	next.Name, next.Listen, next.Console, next.Limits, next.Names = c.Name, c.Listen, c.Console, c.Limits, c.Names
	next.Names.Classes, next.Names.Tenants = names, tenants
	m := &next.Module
	m.Metrics, m.Limits.ConnectTimeout, m.PullMembers = c.Module.Metrics, c.Module.Limits.ConnectTimeout, c.Module.PullMembers
	m.Instance, m.Zone, m.Zones = c.Module.Instance, c.Module.Zone, c.Module.Zones
	return next, startOnly
}

// missingKey returns a key that the file in force has and the next one lacks, empty for
// none. Of objects in a list each has to have what all in force have; the list of
// runners is discovery's and may hold what it likes.
func missingKey(inForce, next map[string]any) string {
	for _, key := range slices.Sorted(maps.Keys(inForce)) {
		current, is := inForce[key], next[key]
		if is == nil && current != nil {
			return key
		}
		if key == "known" {
			continue
		}
		switch current := current.(type) {
		case map[string]any:
			is, _ := is.(map[string]any)
			if sub := missingKey(current, is); sub != "" {
				return key + "." + sub
			}
		case []any:
			is, _ := is.([]any)
			for i := range is {
				of, _ := is[i].(map[string]any)
				if sub := missingKey(commonKeys(current), of); sub != "" {
					return fmt.Sprintf("%s[%d].%s", key, i, sub)
				}
			}
		}
	}
	return ""
}

// commonKeys returns the keys that all objects of a list have.
func commonKeys(list []any) map[string]any {
	var all map[string]any
	for i := range list {
		of, _ := list[i].(map[string]any)
		if i == 0 {
			all = maps.Clone(of)
		}
		maps.DeleteFunc(all, func(key string, _ any) bool { return of[key] == nil })
	}
	return all
}

func load(source Source, fileFirst bool) (Config, error) {
	document, err := source.read()
	if err != nil {
		return Config{}, err
	}
	path, text, getenv := document.path, document.json, source.Getenv
	parsed := file{Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	for _, v := range []struct {
		name string
		to   *string
		keep bool
	}{{"BALANCER_NAME", &parsed.Name, false}, {"BALANCER_LISTEN", &parsed.Listen, false},
		{"BALANCER_CONSOLE", &parsed.Console, false}, {"BALANCER_DISCOVERY", &parsed.Discovery, fileFirst && parsed.Discovery != ""}} {
		if s := getenv(v.name); s != "" && !v.keep {
			*v.to = s
		}
	}
	fixed := document.settings != nil && parsed.Discovery == "" && len(parsed.Known) > 0
	c := Config{Name: parsed.Name, Listen: parsed.Listen, Discovery: parsed.Discovery, Console: parsed.Console, Limits: parsed.Limits, KnownMembers: parsed.Known, keys: document.keys}
	if fd := getenv("BALANCER_FD"); fd != "" {
		if c.ListenFD, err = strconv.Atoi(fd); err != nil || c.ListenFD <= 2 {
			return Config{}, fmt.Errorf("BALANCER_FD: %q is not an inherited descriptor", fd)
		}
	}
	if err := c.check(fixed); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if c.Seed, err = parseSeed(parsed.Seed); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(parsed.Settings) == 0 {
		return Config{}, fmt.Errorf("%s: settings are missing", path)
	}
	if c.Module, err = wire.ParseSettings(parsed.Settings); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if c.Names, err = wire.ParseNames(parsed.Settings); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if c.Discovery != "" && !c.Module.PullMembers && !c.Names.Pushed { // it would never be read
		return Config{}, fmt.Errorf("%s: settings: discovery is missing: on_request where it has to be asked, pushed where an agent holds the list", path)
	}
	for i, name := range c.Names.Classes {
		if name == "" {
			return Config{}, fmt.Errorf("%s: settings: request-classes[%d].name is missing", path, i)
		}
	}
	var telemetry settings.Telemetry
	c.State = settings.DefaultState()
	if document.settings != nil {
		telemetry, c.State, c.Gearman, c.Cluster, c.Gang = document.settings.Telemetry, document.settings.State, document.settings.Gearman, document.settings.Cluster, document.settings.Gang
	}
	c.State.Dir = cmp.Or(getenv("FROSTTIDE_STATE_DIR"), c.State.Dir)
	if c.Telemetry, c.Warnings, err = export.Resolve(telemetry, c.Name, getenv); err != nil {
		return Config{}, err
	}
	for name, class := range c.Gearman.Functions {
		i := slices.Index(c.Names.Classes, class)
		if i < 0 {
			return Config{}, fmt.Errorf("%s: gearman.functions.%s: there is no class %q", path, name, class)
		}
		if i >= 64 {
			return Config{}, fmt.Errorf("%s: gearman.functions.%s: %q is not among the first 64 classes", path, name, class)
		}
	}
	c.Log = source.log(document)
	if _, err := logrus.ParseLevel(c.Log.Level); err != nil {
		return Config{}, fmt.Errorf("log level: %w", err)
	}
	if c.Log.Format != "text" && c.Log.Format != "json" {
		return Config{}, fmt.Errorf("log format: %q is neither text nor json", c.Log.Format)
	}
	return c, nil
}

// check refuses figures that can't be meant. A fixed list of runners goes without
// discovery.
func (c *Config) check(fixed bool) error {
	for _, a := range []struct {
		name, addr string
		optional   bool
	}{{"listen", c.Listen, false}, {"discovery", c.Discovery, fixed}, {"console", c.Console, true}} {
		if a.addr == "" && a.optional {
			continue
		}
		if a.addr == "" {
			return fmt.Errorf("%s: the address is missing", a.name)
		}
		_, port, err := net.SplitHostPort(a.addr)
		if err != nil {
			return fmt.Errorf("%s: %w", a.name, err)
		}
		if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
			return fmt.Errorf("%s: %q is not a port", a.name, port)
		}
	}
	l := c.Limits
	switch {
	case !(l.Cores > 0) || math.IsInf(l.Cores, 0):
		return fmt.Errorf("limits.cores: %g is not a number of cores", l.Cores)
	case l.MemoryMB < 32:
		return fmt.Errorf("limits.memory_mb: %d is too little, 32 is the least", l.MemoryMB)
	case l.Sockets < MinSockets:
		return fmt.Errorf("limits.sockets: %d is too few, %d is the least", l.Sockets, MinSockets)
	}
	return nil
}

// parseSeed reads the seed for random numbers; without one it draws one.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return rand.Uint64(), nil
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a hexadecimal number of at most 16 digits", text)
	}
	return n, nil
}
