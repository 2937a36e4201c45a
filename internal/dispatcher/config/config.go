// Package config loads the configuration of a dispatcher at its start and at a reload: the flags,
// the environment, the platform's JSON file and the settings file. It validates everything, so that
// a mistake aborts the start, or rejects the reload, with one error. cmd/frosttide calls it. Its
// functions read files and the environment and are safe for concurrent use.
//
// # Invariants
//
//   - A reload takes effect completely or not at all.
//   - A class keeps its number for the lifetime of the process, because open jobs refer to it.
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

// MinSockets is the minimum number of file descriptors that a dispatcher needs.
const MinSockets = 64

// Limits holds the resources of the machine that the dispatcher may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"` // in MiB
	Sockets  int     `json:"sockets"`   // file descriptors
}

// Config is the configuration of a dispatcher.
type Config struct {
	Name           string
	Listen         string // address for clients and for runners' callbacks
	Discovery      string // address of discovery; empty for none
	Console        string // address for operators; empty for none
	ListenFD       int    // descriptor of an inherited listening socket; 0 for none
	Seed           uint64 // of the random number generator
	Limits         Limits
	KnownMembers   json.RawMessage // runner list in discovery's form, may be old; empty for none
	Module         decision.Config // the configuration of package decision
	Names          wire.Names      // of what Module refers to by number
	RemovedClasses []bool          // by class number; the class is no longer configured
	Log            settings.Log
	Telemetry      export.Options
	State          settings.State
	Cluster        settings.Cluster
	Gang           settings.Gang
	Gearman        settings.Gearman
	Warnings       []string // about environment variables that are ignored

	keys map[string]any // content of the platform's JSON file
}

// check returns an error for an invalid address or limit. The address of discovery may be missing
// if there is a fixed runner list.
func (c *Config) check(hasFixedList bool) error {
	for _, a := range []struct {
		name, addr string
		optional   bool
	}{
		{"listen", c.Listen, false},
		{"discovery", c.Discovery, hasFixedList},
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
		return fmt.Errorf("limits.memory_mb: %d is below the minimum of 32", l.MemoryMB)
	case l.Sockets < MinSockets:
		return fmt.Errorf("limits.sockets: %d is below the minimum of %d", l.Sockets, MinSockets)
	}
	return nil
}

// checkAddress returns an error, which begins with name, unless addr has the form HOST:PORT.
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

// parseSeed parses a hexadecimal seed. An empty text yields a random one.
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
