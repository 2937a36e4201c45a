package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"frosttide/internal/dispatcher/settings"
)

// Explain loads a configuration as Load does. It also returns every effective value and where it
// was set.
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
	values = overrideFromEnvironment(values, &c, source.Getenv)
	for flag, text := range map[string]string{"level": source.LogLevel, "format": source.LogFormat} {
		if text != "" {
			values = overrideValue(values, "log."+flag, "", text, "--log-"+flag)
		}
	}
	return c, append(values, c.Telemetry.Values()...), nil
}

// fileValues returns the values of both files: those of the settings file, overridden by the
// platform's JSON file, and then the remaining ones of the platform's file, which is at
// platformPath.
func fileValues(document sourceDocument, platformPath string) []settings.Value {
	var values []settings.Value
	platformValues, overridden := map[string]string{}, map[string]bool{}
	flatten("", document.keys, platformValues)
	if document.settings != nil {
		for _, v := range document.settings.Values {
			if text, ok := platformValues[v.PlatformKey]; ok && v.PlatformKey != "" && !strings.Contains(v.Key, "[") {
				v.Text, v.Source = text, document.path[strings.LastIndex(document.path, " ")+1:]
				overridden[v.PlatformKey] = true
			}
			if list, _, item := strings.Cut(v.Key, "["); item && replacesList(document.keys, list) {
				continue
			}
			values = append(values, v)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(platformValues)) {
		if !overridden[key] {
			values = append(values, settings.Value{Key: key, Text: platformValues[key], Source: platformPath, PlatformKey: key})
		}
	}
	return values
}

// overrideFromEnvironment replaces the values that environment variables override.
func overrideFromEnvironment(values []settings.Value, c *Config, getenv func(string) string) []settings.Value {
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
			values = overrideValue(values, v.key, v.platformKey, v.text, "$"+v.variable)
		}
	}
	return values
}

// replacesList reports whether the platform's file replaces a list of the settings file.
func replacesList(keys map[string]any, list string) bool {
	if list == "runner" {
		return keys["known"] != nil
	}
	platformSettings, _ := keys["settings"].(map[string]any)
	return platformSettings["request-classes"] != nil
}

// overrideValue replaces the value of a key, or adds it if the key has none.
func overrideValue(values []settings.Value, key, platformKey, text, source string) []settings.Value {
	for i := range values {
		if v := &values[i]; v.Key == key || platformKey != "" && v.Key == platformKey {
			v.Text, v.Source = fmt.Sprintf("%q", text), source
			return values
		}
	}
	return append(values, settings.Value{Key: key, Text: fmt.Sprintf("%q", text), Source: source})
}

// flatten stores each value of a tree as JSON text in values, by its dotted key.
func flatten(prefix string, tree map[string]any, values map[string]string) {
	for key, v := range tree {
		if object, isObject := v.(map[string]any); isObject {
			flatten(prefix+key+".", object, values)
			continue
		}
		text, err := json.Marshal(v)
		if err != nil { // impossible: the value was parsed from JSON
			continue
		}
		values[prefix+key] = string(text)
	}
}
