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
	Getenv       func(string) string
	Path         string // of the settings file; empty for none
	SettingsText []byte // what the settings file says, where it is not to be read
	LogLevel     string // of the log, by a flag
	LogFormat    string // of the log, by a flag
}

// sourceDocument is the configuration in the platform's form, and where it was read.
type sourceDocument struct {
	json     []byte
	keys     map[string]any // what the platform's file says, nothing else
	path     string
	settings *settings.File // nil for none
}

// read reads the files and lays the platform's over the settings. Without a settings
// file the platform's is taken as it stands.
func (source Source) read() (document sourceDocument, err error) {
	if source.Path != "" {
		if source.SettingsText != nil {
			document.settings, err = settings.Parse(source.Path, source.SettingsText)
		} else {
			document.settings, err = settings.Read(source.Path)
		}
		if err != nil {
			return sourceDocument{}, err
		}
	}
	path := source.Getenv("BALANCER_CONFIG")
	switch {
	case path == "" && document.settings == nil:
		return sourceDocument{}, errors.New("BALANCER_CONFIG is not set; it names the configuration file")
	case path == "":
		document.path = source.Path
		document.json, err = json.Marshal(document.settings.Platform)
		return document, err
	}
	document.path = path
	if document.json, err = os.ReadFile(path); err != nil {
		return sourceDocument{}, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	if document.keys, err = parseObject(document.json); err != nil {
		return sourceDocument{}, fmt.Errorf("%s: %w", path, err)
	}
	if document.settings != nil {
		document.path = source.Path + " under " + path
		document.json, err = json.Marshal(merge(document.settings.Platform, document.keys))
	}
	return document, err
}

// parseObject reads a JSON object; numbers stay as they are written.
func parseObject(text []byte) (map[string]any, error) {
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, err
	}
	clear(keys)
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber()
	return keys, in.Decode(&keys)
}

// merge returns the base with all that the other says in its place; lists go whole.
func merge(base, other map[string]any) map[string]any {
	out := maps.Clone(base)
	for key, v := range other {
		a, isTable := out[key].(map[string]any)
		b, both := v.(map[string]any)
		if isTable && both {
			v = merge(a, b)
		}
		out[key] = v
	}
	return out
}

// log returns how to log.
func (source Source) log(document sourceDocument) settings.Log {
	var l settings.Log
	if document.settings != nil {
		l = document.settings.Log
	}
	return settings.Log{
		Level:  cmp.Or(source.LogLevel, source.Getenv("FROSTTIDE_LOG_LEVEL"), l.Level, "info"),
		Format: cmp.Or(source.LogFormat, source.Getenv("FROSTTIDE_LOG_FORMAT"), l.Format, "text"),
	}
}

// Explain reads a configuration as Load does and tells each value with its source.
func Explain(source Source) (Config, []settings.Value, error) {
	c, err := Load(source)
	if err != nil {
		return Config{}, nil, err
	}
	document, err := source.read()
	if err != nil {
		return Config{}, nil, err
	}
	var values []settings.Value
	platformValues, shown := map[string]string{}, map[string]bool{}
	flatten("", document.keys, platformValues)
	if document.settings != nil {
		for _, v := range document.settings.Values {
			if text, ok := platformValues[v.PlatformKey]; ok && v.PlatformKey != "" && !strings.Contains(v.Key, "[") {
				v.Text, v.Source = text, document.path[strings.LastIndex(document.path, " ")+1:]
				shown[v.PlatformKey] = true
			}
			if list, _, item := strings.Cut(v.Key, "["); item && replacesList(document.keys, list) {
				continue // the platform's list goes in its place
			}
			values = append(values, v)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(platformValues)) {
		if !shown[key] {
			values = append(values, settings.Value{Key: key, Text: platformValues[key], Source: source.Getenv("BALANCER_CONFIG"), PlatformKey: key})
		}
	}
	for _, v := range []struct{ variable, key, to, is string }{{"BALANCER_NAME", "name", "name", c.Name},
		{"BALANCER_LISTEN", "listen.clients", "listen", c.Listen}, {"BALANCER_CONSOLE", "listen.console", "console", c.Console},
		{"BALANCER_DISCOVERY", "discovery.address", "discovery", c.Discovery},
		{"FROSTTIDE_STATE_DIR", "state.dir", "", c.State.Dir},
		{"FROSTTIDE_LOG_LEVEL", "log.level", "", c.Log.Level}, {"FROSTTIDE_LOG_FORMAT", "log.format", "", c.Log.Format}} {
		if source.Getenv(v.variable) != "" {
			values = setValue(values, v.key, v.to, v.is, "$"+v.variable)
		}
	}
	for flag, is := range map[string]string{"level": source.LogLevel, "format": source.LogFormat} {
		if is != "" {
			values = setValue(values, "log."+flag, "", is, "--log-"+flag)
		}
	}
	return c, append(values, c.Telemetry.Values()...), nil
}

// replacesList tells whether the platform's file has a list that goes in the place of one of
// the settings'.
func replacesList(keys map[string]any, list string) bool {
	if list == "runner" {
		return keys["known"] != nil
	}
	source, _ := keys["settings"].(map[string]any)
	return source["request-classes"] != nil
}

// setValue sets a value that is told already, or tells it.
func setValue(values []settings.Value, key, to, text, source string) []settings.Value {
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
