package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"

	"frosttide/internal/dispatcher/settings"
)

// Source is where a configuration is read from. Of several places that set the same value flags take precedence, then the
// environment, the platform's JSON file, the settings file and the defaults.
type Source struct {
	Getenv       func(string) string
	Path         string // of the settings file; empty for none
	SettingsText []byte // the settings file's content; nil to read it from Path
	LogLevel     string // a flag; empty if it is not set
	LogFormat    string // a flag; empty if it is not set
}

// sourceDocument is a configuration in the platform's form.
type sourceDocument struct {
	json     []byte
	path     string         // of the files that it was read from, as errors name them
	keys     map[string]any // of the platform's file alone
	settings *settings.File // nil for none
}

// read reads the files and merges the platform's into the settings. Without a settings file the platform's is taken as it
// is.
func (s Source) read() (document sourceDocument, err error) {
	if document.settings, err = s.readSettings(); err != nil {
		return sourceDocument{}, err
	}
	path := s.Getenv("BALANCER_CONFIG")
	switch {
	case path == "" && document.settings == nil:
		return sourceDocument{}, errors.New("BALANCER_CONFIG is not set; it names the configuration file")
	case path == "":
		document.path = s.Path
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
		document.path = s.Path + " under " + path
		document.json, err = json.Marshal(merge(document.settings.Platform, document.keys))
	}
	return document, err
}

// readSettings returns the settings file, nil for none.
func (s Source) readSettings() (*settings.File, error) {
	switch {
	case s.Path == "":
		return nil, nil
	case s.SettingsText != nil:
		return settings.Parse(s.Path, s.SettingsText)
	}
	return settings.Read(s.Path)
}

// parseObject reads a JSON object, with its numbers as they are written.
func parseObject(text []byte) (map[string]any, error) {
	var keys map[string]any
	if err := json.Unmarshal(text, &keys); err != nil { // finds text behind the object, which a decoder does not
		return nil, err
	}
	clear(keys)
	in := json.NewDecoder(bytes.NewReader(text))
	in.UseNumber()
	return keys, in.Decode(&keys)
}

// merge returns the base with the values of the other in their place. Objects are merged; lists are replaced.
func merge(base, other map[string]any) map[string]any {
	out := maps.Clone(base)
	for key, v := range other {
		a, isObject := out[key].(map[string]any)
		b, bothObjects := v.(map[string]any)
		if isObject && bothObjects {
			v = merge(a, b)
		}
		out[key] = v
	}
	return out
}

// log returns how to log.
func (s Source) log(document sourceDocument) settings.Log {
	var l settings.Log
	if document.settings != nil {
		l = document.settings.Log
	}
	return settings.Log{
		Level:  cmp.Or(s.LogLevel, s.Getenv("FROSTTIDE_LOG_LEVEL"), l.Level, "info"),
		Format: cmp.Or(s.LogFormat, s.Getenv("FROSTTIDE_LOG_FORMAT"), l.Format, "text"),
	}
}
