package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"frosttide/internal/dispatcher/export"
	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/wire"
)

// platformFile is the content of the platform's JSON file, whose path is in $BALANCER_CONFIG.
type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Console   string          `json:"console"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// Load loads and validates the configuration for a start.
func Load(source Source) (Config, error) {
	c, err := load(source, environmentFirst)
	c.RemovedClasses = make([]bool, len(c.Names.Classes))
	return c, err
}

var (
	errNoSettings      = errors.New("settings are missing")
	errNoDiscoveryMode = errors.New("settings: discovery is missing: on_request where it has to be asked, pushed where an agent holds the list")
)

// precedence decides whether the environment or the file determines the address of discovery if
// both set it.
type precedence bool

const (
	environmentFirst precedence = false
	// fileFirst is for reloads: the environment of a running process stays that of its start.
	fileFirst precedence = true
)

// load loads and validates a configuration.
func load(source Source, discovery precedence) (Config, error) {
	document, err := source.read()
	if err != nil {
		return Config{}, err
	}
	parsed := platformFile{Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}}
	if err := json.Unmarshal(document.json, &parsed); err != nil {
		return Config{}, fmt.Errorf("%s: %w", document.path, err)
	}
	parsed.override(source.Getenv, discovery)
	c := Config{
		Name:         parsed.Name,
		Listen:       parsed.Listen,
		Discovery:    parsed.Discovery,
		Console:      parsed.Console,
		Limits:       parsed.Limits,
		KnownMembers: parsed.Known,
		keys:         document.keys,
	}
	if c.ListenFD, err = listenFD(source.Getenv); err != nil {
		return Config{}, err
	}
	hasFixedList := document.settings != nil && parsed.Discovery == "" && len(parsed.Known) > 0
	if err := c.loadPlatform(&parsed, hasFixedList); err != nil {
		return Config{}, fmt.Errorf("%s: %w", document.path, err)
	}
	var telemetry settings.Telemetry
	c.State = settings.DefaultState()
	if s := document.settings; s != nil {
		telemetry, c.State, c.Gearman, c.Cluster, c.Gang = s.Telemetry, s.State, s.Gearman, s.Cluster, s.Gang
	}
	c.State.Dir = cmp.Or(source.Getenv("FROSTTIDE_STATE_DIR"), c.State.Dir)
	if c.Telemetry, c.Warnings, err = export.Resolve(telemetry, c.Name, source.Getenv); err != nil {
		return Config{}, err
	}
	if err := c.checkFunctions(); err != nil {
		return Config{}, fmt.Errorf("%s: %w", document.path, err)
	}
	c.Log = source.logSettings(document)
	if err := checkLog(c.Log); err != nil {
		return Config{}, err
	}
	return c, nil
}

// override replaces the values that environment variables set.
func (f *platformFile) override(getenv func(string) string, discovery precedence) {
	for _, v := range []struct {
		name   string
		target *string
		skip   bool
	}{
		{"BALANCER_NAME", &f.Name, false},
		{"BALANCER_LISTEN", &f.Listen, false},
		{"BALANCER_CONSOLE", &f.Console, false},
		{"BALANCER_DISCOVERY", &f.Discovery, discovery == fileFirst && f.Discovery != ""},
	} {
		if s := getenv(v.name); s != "" && !v.skip {
			*v.target = s
		}
	}
}

// listenFD returns the descriptor of the listening socket that the platform passes in $BALANCER_FD,
// or 0 if it passes none.
func listenFD(getenv func(string) string) (int, error) {
	text := getenv("BALANCER_FD")
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd <= 2 {
		return 0, fmt.Errorf("BALANCER_FD: %q is not an inherited descriptor", text)
	}
	return fd, nil
}

// loadPlatform validates and converts the values of the platform's form.
func (c *Config) loadPlatform(parsed *platformFile, hasFixedList bool) (err error) {
	if err := c.check(hasFixedList); err != nil {
		return err
	}
	if c.Seed, err = parseSeed(parsed.Seed); err != nil {
		return err
	}
	if len(parsed.Settings) == 0 {
		return errNoSettings
	}
	if c.Module, err = wire.ParseSettings(parsed.Settings); err != nil {
		return err
	}
	if c.Names, err = wire.ParseNames(parsed.Settings); err != nil {
		return err
	}
	if c.Discovery != "" && !c.Module.PullMembers && !c.Names.Pushed {
		return errNoDiscoveryMode
	}
	for i, name := range c.Names.Classes {
		if name == "" {
			return fmt.Errorf("settings: request-classes[%d].name is missing", i)
		}
	}
	return nil
}

// checkLog returns an error for an unknown log level or format.
func checkLog(l settings.Log) error {
	if _, err := logrus.ParseLevel(l.Level); err != nil {
		return fmt.Errorf("log level: %w", err)
	}
	if l.Format != "text" && l.Format != "json" {
		return fmt.Errorf("log format: %q is neither text nor json", l.Format)
	}
	return nil
}

// checkFunctions returns an error if the class of a Gearman function does not exist or its number
// is too high.
func (c *Config) checkFunctions() error {
	const maxClasses = 64 // functions can only use the classes with lower numbers
	for name, class := range c.Gearman.Functions {
		i := slices.Index(c.Names.Classes, class)
		if i < 0 {
			return fmt.Errorf("gearman.functions.%s: there is no class %q", name, class)
		}
		if i >= maxClasses {
			return fmt.Errorf("gearman.functions.%s: %q is not among the first %d classes", name, class, maxClasses)
		}
	}
	return nil
}
