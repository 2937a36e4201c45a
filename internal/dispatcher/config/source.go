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

// Source specifies where a configuration is loaded from. If several places set the same value, the
// order of precedence is flags, environment, the platform's JSON file, the settings file, defaults.
type Source struct {
	Getenv       func(string) string
	Path         string // of the settings file; empty for none
	SettingsText []byte // the settings file's content; nil to read it from Path
	LogLevel     string // from a flag; empty if it is not set
	LogFormat    string // from a flag; empty if it is not set
}

// sourceDocument is a configuration in the form of the platform's JSON file.
type sourceDocument struct {
	json     []byte
	path     string         // of the files that it was read from, for error messages
	keys     map[string]any // content of the platform's file, without the settings file
	settings *settings.File // nil without a settings file
}

// read reads the files and overrides the values of the settings file with those of the platform's
// file. Without a settings file it returns the platform's file unchanged.
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

// readSettings reads and parses the settings file. It returns nil if there is none.
func (s Source) readSettings() (*settings.File, error) {
	switch {
	case s.Path == "":
		return nil, nil
	case s.SettingsText != nil:
		return settings.Parse(s.Path, s.SettingsText)
	}
	return settings.Read(s.Path)
}

// parseObject parses a JSON object and keeps its numbers as json.Number, without loss of precision.
func parseObject(text []byte) (map[string]any, error) {
	var keys map[string]any
	// Unmarshal rejects data after the object, which Decode does not.
	if err := json.Unmarshal(text, &keys); err != nil {
		return nil, err
	}
	clear(keys)
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	return keys, decoder.Decode(&keys)
}

// merge returns base overridden with the values of override. Objects are merged recursively, and
// lists are replaced.
func merge(base, override map[string]any) map[string]any {
	out := maps.Clone(base)
	for key, v := range override {
		baseObject, isObject := out[key].(map[string]any)
		overrideObject, bothObjects := v.(map[string]any)
		if isObject && bothObjects {
			v = merge(baseObject, overrideObject)
		}
		out[key] = v
	}
	return out
}

// logSettings returns the log settings by the precedence of Source, with defaults.
func (s Source) logSettings(document sourceDocument) settings.Log {
	var l settings.Log
	if document.settings != nil {
		l = document.settings.Log
	}
	return settings.Log{
		Level:  cmp.Or(s.LogLevel, s.Getenv("FROSTTIDE_LOG_LEVEL"), l.Level, "info"),
		Format: cmp.Or(s.LogFormat, s.Getenv("FROSTTIDE_LOG_FORMAT"), l.Format, "text"),
	}
}
