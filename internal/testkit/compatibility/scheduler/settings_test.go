package compatibility_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"frosttide/internal/nodefile"
	"frosttide/internal/routeconfig"
)

// minimalSettings holds the required keys of a settings file.
const minimalSettings = "Ip = \"10.0.0.1\"\nPortRange = [7380, 7395]\n"

// writeFile writes a file to a temporary directory of the test and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// settingsKeys returns a line for each TOML key of a settings struct, with its type and value.
func settingsKeys(prefix string, settings reflect.Value) (lines []string) {
	for i := range settings.NumField() {
		field := settings.Type().Field(i)
		name := field.Name
		if tag := field.Tag.Get("toml"); tag != "" {
			name = tag
		}
		if field.Type.Kind() == reflect.Struct {
			lines = append(lines, settingsKeys(prefix+name+".", settings.Field(i))...)
			continue
		}
		lines = append(lines, fmt.Sprintf("%s%s %v = %v", prefix, name, field.Type, settings.Field(i)))
	}
	return lines
}

// TestCompatibilitySettings pins the default settings, from a file with only the required keys, and
// the settings from a file with all keys.
func TestCompatibilitySettings(t *testing.T) {
	minimal, err := nodefile.Read(writeFile(t, "node.toml", minimalSettings))
	require.NoError(t, err)
	all, err := nodefile.Read(filepath.Join("testdata", "settings.toml"))
	require.NoError(t, err)
	requireGolden(t, "settings.txt", "defaults\n"+strings.Join(settingsKeys("  ", reflect.ValueOf(*minimal)), "\n")+
		"\nall keys set\n"+strings.Join(settingsKeys("  ", reflect.ValueOf(*all)), "\n")+
		fmt.Sprintf("\nderived\n  contacts = %v\n  internal address = %s\n", all.Contacts(), all.InternalAddress(all.IP, 2)))
}

// TestCompatibilitySettingsMistakes pins the error messages for invalid settings files.
func TestCompatibilitySettingsMistakes(t *testing.T) {
	var text strings.Builder
	for _, mistake := range []struct{ name, text string }{
		{"no TOML", "Ip = \n"},
		{"text as a number", "Ip = 5\n"},
		{"number as a text", "PortRange = [\"a\"]\n"},
		{"number in a table", "[Bounds]\nRecoveryS = \"x\"\n"},
		{"no address", "PortRange = [1, 2]\n"},
		{"bad address", "Ip = \"x\"\nPortRange = [1, 2]\n"},
		{"no ports", "Ip = \"10.0.0.1\"\n"},
		{"ports reversed", "Ip = \"10.0.0.1\"\nPortRange = [9, 2]\n"},
		{"ports too high", "Ip = \"10.0.0.1\"\nPortRange = [9, 65536]\n"},
		{"front", minimalSettings + "[ListenAddrs]\nFront = \"x\"\n"},
		{"readiness", minimalSettings + "[ListenAddrs]\nReadiness = \"x\"\n"},
		{"control", minimalSettings + "[ListenAddrs]\nControl = \"x\"\n"},
		{"seed", minimalSettings + "Seeds = [\"10.0.0.1:1\", \"x\"]\n"},
		{"tolerance", minimalSettings + "[FaultTolerance]\nMachines = -1\n"},
		{"duplicate key", minimalSettings + "Zone = \"a\"\nZone = \"b\"\n"},
	} {
		path := writeFile(t, "node.toml", mistake.text)
		_, err := nodefile.Read(path)
		require.Error(t, err, mistake.name)
		require.True(t, errors.Is(err, nodefile.ErrSettings), mistake.name)
		fmt.Fprintf(&text, "%s: %s\n", mistake.name, strings.ReplaceAll(err.Error(), path, "FILE"))
	}
	_, err := nodefile.Read("/nonexistent/node.toml")
	require.Error(t, err)
	fmt.Fprintf(&text, "no file: %v\nneeded: %v\n", err, nodefile.MissingKey("FILE", "DataDir"))
	requireGolden(t, "settings-mistakes.txt", text.String())
}

// TestCompatibilitySettingsVariable pins the environment variable with the path of the settings
// file.
func TestCompatibilitySettingsVariable(t *testing.T) {
	t.Setenv("FROSTTIDE_NODE_FILE", "/etc/node.toml")
	path, err := nodefile.Path()
	require.NoError(t, err)
	require.Equal(t, "/etc/node.toml", path)
	t.Setenv("FROSTTIDE_NODE_FILE", "")
	_, err = nodefile.Path()
	require.EqualError(t, err, "settings: FROSTTIDE_NODE_FILE is not set: it names the settings file")
}

// configuration is a configuration with all keys that the programs read, and with unknown keys,
// which they keep.
const configuration = `{"Version":5,"Routes":[{"Name":"b","Host":"H.example","PathPrefix":"/x/","TimeoutMs":3000,"TargetLatencyMs":800,"Priority":2,"Service":"s","MaxAttempts":2,"Stretch":1.5,"Odd":[1]},` +
	`{"Name":"a","Host":"h.example","PathPrefix":"/x/y/","TimeoutMs":2000,"Service":"s"}],"Services":[{"Name":"s","HealthPath":"/health"},{"Name":"unused"}],` +
	`"Limits":{"MaxHeaderBytes":9,"MaxBodyBytes":100,"HeaderTimeoutMs":7,"IdleTimeoutMs":8},"Other":{"Kept":true}}`

// applyUpdate returns the routing table that results from an update of base: a patch, or else a
// replacement.
func applyUpdate(t *testing.T, base *routeconfig.Table, body string, patch bool) *routeconfig.Table {
	t.Helper()
	change, err := base.Apply([]byte(body), patch)
	require.NoError(t, err)
	return change.Table
}

// TestCompatibilityConfiguration pins the document that operators read back, the parsed values, and
// the digest by which processes of different releases compare configurations.
func TestCompatibilityConfiguration(t *testing.T) {
	whole := applyUpdate(t, routeconfig.Empty(), configuration, false)
	patched := applyUpdate(t, whole, `{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h.example","PathPrefix":"/c/","TimeoutMs":1,"Service":"s"}],"Limits":{"MaxBodyBytes":50}},`+
		`"Remove":{"Routes":["a","none"],"Services":["unused"]}}`, true)
	var text strings.Builder
	for _, c := range []struct {
		name  string
		table *routeconfig.Table
	}{{"empty", routeconfig.Empty()}, {"whole", whole}, {"patched", patched}} {
		fmt.Fprintf(&text, "%s\n  document %s\n  digest %016x\n  record %v %v %v\n", c.name, c.table.Document(), c.table.Digest,
			c.table.Record().GetVersion(), c.table.Record().GetOrder(), c.table.Record().GetHorizon())
	}
	for _, name := range []string{"b", "a"} {
		r := whole.Route(name)
		fmt.Fprintf(&text, "route Name=%s Host=%s PathPrefix=%s Service=%s TimeoutMs=%d TargetLatencyMs=%d Priority=%d MaxAttempts=%d Stretch=%v\n",
			r.Name, r.Host, r.PathPrefix, r.Service, r.TimeoutMs, r.TargetLatencyMs, r.Priority, r.MaxAttempts, r.Stretch)
	}
	limits := whole.Limits()
	fmt.Fprintf(&text, "limits MaxHeaderBytes=%d MaxBodyBytes=%d HeaderTimeoutMs=%d IdleTimeoutMs=%d\n",
		limits.MaxHeaderBytes, limits.MaxBodyBytes, limits.HeaderTimeoutMs, limits.IdleTimeoutMs)
	requireGolden(t, "configuration.txt", text.String())
}

// TestCompatibilityConfigurationMistakes pins the error messages for rejected configuration
// updates.
func TestCompatibilityConfigurationMistakes(t *testing.T) {
	base := applyUpdate(t, routeconfig.Empty(), configuration, false)
	var text strings.Builder
	for _, mistake := range []struct {
		name, body string
		patch      bool
	}{
		{"cut short", configuration[:100], false},
		{"no object", `[]`, false},
		{"a number that is none", `{"Version":6,"Odd":{"a":00}}`, false},
		{"a text that is none", `{"Version":6,"Odd":"\q"}`, false},
		{"a text that is not UTF-8", `{"Version":6,"Routes":[{"Name":"a"},{"Name":"repetici` + "\xf3" + `n"}]}`, false},
		{"a surrogate without its other half", `{"Version":6,"Odd":"repetici\udcf3n"}`, false},
		{"no version", `{"Routes":[]}`, false},
		{"version as a text", `{"Version":"6"}`, false},
		{"version not above", configuration, false},
		{"fraction", strings.Replace(configuration, `"Version":5`, `"Version":5.5`, 1), false},
		{"service of one route", `{"Version":6,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","TimeoutMs":1,"Service":"t"}]}`, false},
		{"no time-out", `{"Version":6,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/","Service":"t"}],"Services":[{"Name":"t"}]}`, false},
		{"prefix without a slash", `{"Version":6,"Routes":[{"Name":"r","Host":"h","PathPrefix":"x","TimeoutMs":1,"Service":"t"}],"Services":[{"Name":"t"}]}`, false},
		{"name stands twice", `{"Version":6,"Services":[{"Name":"t"},{"Name":"t"}]}`, false},
		{"name is missing", `{"Version":6,"Services":[{}]}`, false},
		{"routes are no list", `{"Version":6,"Routes":{}}`, false},
		{"service in use removed", `{"Version":6,"Remove":{"Services":["s"],"Routes":["a"]}}`, true},
		{"patch removes no list", `{"Version":6,"Remove":{"Routes":"a"}}`, true},
		{"patch removes another member", `{"Version":6,"Remove":{"Limits":["a"]}}`, true},
		{"patch sets no list", `{"Version":6,"Upsert":{"Routes":1}}`, true},
	} {
		_, err := base.Apply([]byte(mistake.body), mistake.patch)
		require.Error(t, err, mistake.name)
		require.True(t, errors.Is(err, routeconfig.ErrInvalid), mistake.name)
		fmt.Fprintf(&text, "%s: %v\n", mistake.name, err)
	}
	requireGolden(t, "configuration-mistakes.txt", text.String())
}
