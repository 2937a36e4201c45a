// Package config reads what a dispatcher is configured with when it starts and when it reloads: the flags, the
// environment, the platform's JSON file and the settings file. It checks everything, so that a mistake ends the start, or
// rejects the reload, with one error. The program calls it; its functions read files and the environment, and are safe
// for concurrent use.
//
// Invariants: a reload takes effect completely or not at all; a class keeps its number for the life of the process, as
// open jobs refer to it.
package config

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strconv"

	"frosttide/decision"
	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/wire"
)

// MinSockets is the minimum number of descriptors that a dispatcher works with.
const MinSockets = 64

// Limits are the resources of the machine that the dispatcher may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is a dispatcher's configuration.
type Config struct {
	Name           string
	Listen         string // the clients' address
	Discovery      string // discovery's address; empty for none
	Console        string // the operators' address; empty for none
	ListenFD       int    // the descriptor of a listening socket that the platform holds; 0 for none
	Seed           uint64 // of random draws
	Limits         Limits
	KnownMembers   json.RawMessage // a list of runners in discovery's form, which may be old; empty for none
	Module         decision.Config
	Names          wire.Names
	RemovedClasses []bool // by class number: the configuration in force does not have the class any more
	Log            settings.Log
	Telemetry      export.Options
	State          settings.State
	Cluster        settings.Cluster
	Gang           settings.Gang
	Gearman        settings.Gearman
	Warnings       []string // about values of the environment that are ignored

	keys map[string]any // of the platform's file
}

// check returns an error if an address or a limit is not usable. A fixed list of runners needs no discovery.
func (c *Config) check(fixed bool) error {
	for _, a := range []struct {
		name, addr string
		optional   bool
	}{
		{"listen", c.Listen, false},
		{"discovery", c.Discovery, fixed},
		{"console", c.Console, true},
	} {
		if a.addr == "" && a.optional {
			continue
		}
		if err := checkAddress(a.name, a.addr); err != nil {
			return err
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

func checkAddress(name, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: the address is missing", name)
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("%s: %q is not a port", name, port)
	}
	return nil
}

// parseSeed reads a seed, or draws one if the text is empty.
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
