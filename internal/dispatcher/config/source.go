package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"

	"frosttide/internal/dispatcher/settings"
)

// Source is where a configuration comes from. Of two places that speak of one thing the
// flags go first, then the environment, the platform's JSON file, the settings file and
// the defaults.
type Source struct {
	Getenv func(string) string
	Path   string // of the settings file; empty for none
	Text   []byte // what the settings file says, where it is not to be read
	Level  string // of the log, by a flag
	Format string // of the log, by a flag
}

// text is the configuration in the platform's form, and where it was read.
type text struct {
	json     []byte
	keys     map[string]any // what the platform's file says, nothing else
	path     string
	settings *settings.File // nil for none
}

// read reads the files and lays the platform's over the settings. Without a settings
// file the platform's is taken as it stands.
func (s Source) read() (t text, err error) {
	if s.Path != "" {
		if s.Text != nil {
			t.settings, err = settings.Parse(s.Path, s.Text)
		} else {
			t.settings, err = settings.Read(s.Path)
		}
		if err != nil {
			return text{}, err
		}
	}
	path := s.Getenv("BALANCER_CONFIG")
	switch {
	case path == "" && t.settings == nil:
		return text{}, errors.New("BALANCER_CONFIG is not set; it names the configuration file")
	case path == "":
		t.path = s.Path
		t.json, err = json.Marshal(t.settings.Platform)
		return t, err
	}
	t.path = path
	if t.json, err = os.ReadFile(path); err != nil {
		return text{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	if t.keys, err = object(t.json); err != nil {
		return text{}, fmt.Errorf("%s: %w", path, err)
	}
	if t.settings != nil {
		t.path = s.Path + " under " + path
		t.json, err = json.Marshal(over(t.settings.Platform, t.keys))
	}
	return t, err
}

// object reads a JSON object; numbers stay as they are written.
func object(text []byte) (map[string]any, error) {
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, err
	}
	clear(keys)
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber()
	return keys, in.Decode(&keys)
}

// over returns the base with all that the other says in its place; lists go whole.
func over(base, other map[string]any) map[string]any {
	out := maps.Clone(base)
	for key, v := range other {
		a, isTable := out[key].(map[string]any)
		b, both := v.(map[string]any)
		if isTable && both {
			v = over(a, b)
		}
		out[key] = v
	}
	return out
}

// log returns how to log.
func (s Source) log(t text) settings.Log {
	var l settings.Log
	if t.settings != nil {
		l = t.settings.Log
	}
	return settings.Log{
		Level:  cmp.Or(s.Level, s.Getenv("FROSTTIDE_LOG_LEVEL"), l.Level, "info"),
		Format: cmp.Or(s.Format, s.Getenv("FROSTTIDE_LOG_FORMAT"), l.Format, "text"),
	}
}

// Explain reads a configuration as Load does and tells each value with its source.
func Explain(src Source) (Config, []settings.Value, error) {
	c, err := Load(src)
	if err != nil {
		return Config{}, nil, err
	}
	t, err := src.read()
	if err != nil {
		return Config{}, nil, err
	}
	var values []settings.Value
	leaves, said := map[string]string{}, map[string]bool{}
	flatten("", t.keys, leaves)
	if t.settings != nil {
		for _, v := range t.settings.Values {
			if text, ok := leaves[v.To]; ok && v.To != "" && !strings.Contains(v.Key, "[") {
				v.Text, v.Source = text, t.path[strings.LastIndex(t.path, " ")+1:]
				said[v.To] = true
			}
			if list, _, item := strings.Cut(v.Key, "["); item && replaced(t.keys, list) {
				continue // the platform's list goes in its place
			}
			values = append(values, v)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(leaves)) {
		if !said[key] {
			values = append(values, settings.Value{Key: key, Text: leaves[key], Source: src.Getenv("BALANCER_CONFIG"), To: key})
		}
	}
	for _, v := range []struct{ variable, key, to, is string }{{"BALANCER_NAME", "name", "name", c.Name},
		{"BALANCER_LISTEN", "listen.clients", "listen", c.Listen}, {"BALANCER_CONSOLE", "listen.console", "console", c.Console},
		{"BALANCER_DISCOVERY", "discovery.address", "discovery", c.Discovery},
		{"FROSTTIDE_STATE_DIR", "state.dir", "", c.State.Dir},
		{"FROSTTIDE_LOG_LEVEL", "log.level", "", c.Log.Level}, {"FROSTTIDE_LOG_FORMAT", "log.format", "", c.Log.Format}} {
		if src.Getenv(v.variable) != "" {
			values = put(values, v.key, v.to, v.is, "$"+v.variable)
		}
	}
	for flag, is := range map[string]string{"level": src.Level, "format": src.Format} {
		if is != "" {
			values = put(values, "log."+flag, "", is, "--log-"+flag)
		}
	}
	return c, append(values, c.Telemetry.Told()...), nil
}

// replaced tells whether the platform's file has a list that goes in the place of one of
// the settings'.
func replaced(keys map[string]any, list string) bool {
	if list == "runner" {
		return keys["known"] != nil
	}
	s, _ := keys["settings"].(map[string]any)
	return s["request-classes"] != nil
}

// put sets a value that is told already, or tells it.
func put(values []settings.Value, key, to, text, source string) []settings.Value {
	for i := range values {
		if v := &values[i]; v.Key == key || to != "" && v.Key == to {
			v.Text, v.Source = fmt.Sprintf("%q", text), source
			return values
		}
	}
	return append(values, settings.Value{Key: key, Text: fmt.Sprintf("%q", text), Source: source})
}

// flatten gives each value of a tree its path.
func flatten(prefix string, tree map[string]any, into map[string]string) {
	for key, v := range tree {
		switch v := v.(type) {
		case map[string]any:
			flatten(prefix+key+".", v, into)
			continue
		}
		text, err := json.Marshal(v)
		if err != nil {
			continue // it was read from JSON
		}
		into[prefix+key] = string(text)
	}
}
