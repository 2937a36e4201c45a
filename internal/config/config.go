// Package config reads what the platform tells a dispatcher at its start: the
// environment and the file that it names. Everything is checked here, so that a
// mistake ends the start with one plain line.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"reflect"
	"strconv"

	"magpierelay"
	"magpierelay/internal/wire"
)

// Limits are the bounds of the machine that the dispatcher runs on.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what a dispatcher is told when it starts.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Console   string // the operators' address; empty for none
	Inherited int    // the descriptor of a listening socket that the platform holds; 0 for none
	Seed      uint64
	Limits    Limits
	Known     json.RawMessage // the list as last held, in discovery's form; it may be old or absent
	Module    magpierelay.Config
	Names     wire.Names
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

// Load reads the environment and the file at $BALANCER_CONFIG. Where the
// environment and the file both give a value, the environment's is taken.
func Load(getenv func(string) string) (Config, error) { return load(getenv, false) }

// Reload reads the same again after a start. Guards against a new file that
// changes nothing: the environment of a running process is that of its start, so
// here the file's discovery goes before it.
func Reload(getenv func(string) string) (Config, error) { return load(getenv, true) }

// OnlyDiscovery tells whether two configurations differ in nothing that a start
// would make of them but the address of discovery, which alone a reload takes.
// Known and Seed are new with each file.
func OnlyDiscovery(a, b Config) bool {
	b.Discovery, b.Known, b.Seed = a.Discovery, a.Known, a.Seed
	return reflect.DeepEqual(a, b)
}

func load(getenv func(string) string, fileFirst bool) (Config, error) {
	path := getenv("BALANCER_CONFIG")
	if path == "" {
		return Config{}, errors.New("BALANCER_CONFIG is not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	f := file{Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	for _, v := range []struct {
		name string
		to   *string
		keep bool
	}{{"BALANCER_NAME", &f.Name, false}, {"BALANCER_LISTEN", &f.Listen, false},
		{"BALANCER_CONSOLE", &f.Console, false}, {"BALANCER_DISCOVERY", &f.Discovery, fileFirst && f.Discovery != ""}} {
		if s := getenv(v.name); s != "" && !v.keep {
			*v.to = s
		}
	}
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Console: f.Console, Limits: f.Limits, Known: f.Known}
	if fd := getenv("BALANCER_FD"); fd != "" {
		if c.Inherited, err = strconv.Atoi(fd); err != nil || c.Inherited <= 2 {
			return Config{}, fmt.Errorf("BALANCER_FD: %q is not an inherited descriptor", fd)
		}
	}
	if err := c.check(); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if c.Seed, err = seed(f.Seed); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if len(f.Settings) == 0 {
		return Config{}, fmt.Errorf("%s: settings are missing", path)
	}
	if c.Module, err = wire.ParseSettings(f.Settings); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if c.Names, err = wire.ParseNames(f.Settings); err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	for i, name := range c.Names.Classes {
		if name == "" {
			return Config{}, fmt.Errorf("%s: settings: request-classes[%d].name is missing", path, i)
		}
	}
	return c, nil
}

func (c *Config) check() error {
	for _, a := range []struct {
		name, addr string
		optional   bool
	}{{"listen", c.Listen, false}, {"discovery", c.Discovery, false}, {"console", c.Console, true}} {
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

// seed reads the seed for random numbers; without one it draws one.
func seed(text string) (uint64, error) {
	if text == "" {
		return rand.Uint64(), nil
	}
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: %q is not a hexadecimal number of at most 16 digits", text)
	}
	return n, nil
}
