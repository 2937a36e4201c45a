package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"frosttide/internal/dispatcher/settings"
)

// Explain reads a configuration as Load does, and returns each value that is in force with where it was set.
func Explain(source Source) (Config, []settings.Value, error) {
	c, err := Load(source)
	if err != nil {
		return Config{}, nil, err
	}
	document, err := source.read()
	if err != nil {
		return Config{}, nil, err
	}
	values := fileValues(document, source.Getenv("BALANCER_CONFIG"))
	values = setFromEnvironment(values, &c, source.Getenv)
	for flag, text := range map[string]string{"level": source.LogLevel, "format": source.LogFormat} {
		if text != "" {
			values = setValue(values, "log."+flag, "", text, "--log-"+flag)
		}
	}
	return c, append(values, c.Telemetry.Values()...), nil
}

// fileValues returns the values of the files: those of the settings, with the platform's in their place, and the rest of
// the platform's, whose file is at a path.
func fileValues(document sourceDocument, platformPath string) []settings.Value {
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
				continue
			}
			values = append(values, v)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(platformValues)) {
		if !shown[key] {
			values = append(values, settings.Value{Key: key, Text: platformValues[key], Source: platformPath, PlatformKey: key})
		}
	}
	return values
}

// setFromEnvironment sets the values that the environment has set.
func setFromEnvironment(values []settings.Value, c *Config, getenv func(string) string) []settings.Value {
	for _, v := range []struct{ variable, key, platformKey, text string }{
		{"BALANCER_NAME", "name", "name", c.Name},
		{"BALANCER_LISTEN", "listen.clients", "listen", c.Listen},
		{"BALANCER_CONSOLE", "listen.console", "console", c.Console},
		{"BALANCER_DISCOVERY", "discovery.address", "discovery", c.Discovery},
		{"FROSTTIDE_STATE_DIR", "state.dir", "", c.State.Dir},
		{"FROSTTIDE_LOG_LEVEL", "log.level", "", c.Log.Level},
		{"FROSTTIDE_LOG_FORMAT", "log.format", "", c.Log.Format},
	} {
		if getenv(v.variable) != "" {
			values = setValue(values, v.key, v.platformKey, v.text, "$"+v.variable)
		}
	}
	return values
}

// replacesList reports whether the platform's file has a list that replaces one of the settings'.
func replacesList(keys map[string]any, list string) bool {
	if list == "runner" {
		return keys["known"] != nil
	}
	platformSettings, _ := keys["settings"].(map[string]any)
	return platformSettings["request-classes"] != nil
}

// setValue changes the value of a key, or adds one.
func setValue(values []settings.Value, key, platformKey, text, source string) []settings.Value {
	for i := range values {
		if v := &values[i]; v.Key == key || platformKey != "" && v.Key == platformKey {
			v.Text, v.Source = fmt.Sprintf("%q", text), source
			return values
		}
	}
	return append(values, settings.Value{Key: key, Text: fmt.Sprintf("%q", text), Source: source})
}

// flatten adds each value of a tree as JSON text under its dotted key.
func flatten(prefix string, tree map[string]any, into map[string]string) {
	for key, v := range tree {
		if object, is := v.(map[string]any); is {
			flatten(prefix+key+".", object, into)
			continue
		}
		text, err := json.Marshal(v)
		if err != nil { // impossible: the value was read from JSON
			continue
		}
		into[prefix+key] = string(text)
	}
}
