package nodefile

import (
	"os"
	"path/filepath"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const sample = `NodeName = "core-1"
Ip = "10.1.0.42"
Zone = "z"
PortRange = [7380, 7395]
Seeds = ["10.1.0.42:8144", "10.2.0.44:8144"]
Bootstrap = true
DataDir = "/data"
Fresh = { a = 1 }
[ListenAddrs]
Control = "10.1.0.42:8144"
[FaultTolerance]
Machines = 1
[Bounds]
HoldMaxMs = 10000
RecoveryS = 12.5
closed = false
`

// writeFile writes a settings file to a temporary directory and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestRead checks the values, conversions and defaults of a valid file with unknown keys.
func TestRead(t *testing.T) {
	f, err := Read(writeFile(t, sample))
	require.NoError(t, err)
	require.True(t, f.Bootstrap)
	require.Equal(t, []string{"10.1.0.42:7380", "10.2.0.44:7380"}, f.Contacts())
	require.Equal(t, 12500*time.Millisecond, Seconds(f.Bounds.RecoveryS))
	require.Equal(t, 10*time.Second, Milliseconds(f.Bounds.HoldMaxMs))
	require.EqualValues(t, defaultGraceS, f.Bounds.GraceS, "default of a missing bound")
}

// TestInvalidFiles checks that each invalid setting is reported in one line with the file, the key
// and the reason.
func TestInvalidFiles(t *testing.T) {
	const minimal = "Ip = \"10.0.0.1\"\nPortRange = [1, 2]\n"
	for _, c := range []struct{ name, text, want string }{
		{"not TOML", "Ip = \n", "line 1"},
		{"wrong type", "Ip = 5\n", "Ip"},
		{"invalid IP", "Ip = \"x\"\nPortRange = [1, 2]\n", "Ip: \"x\" is no address"},
		{"missing port range", "Ip = \"10.0.0.1\"\n", "PortRange"},
		{"reversed port range", "Ip = \"10.0.0.1\"\nPortRange = [9, 2]\n", "PortRange"},
		{"seed", minimal + "Seeds = [\"x\"]\n", "Seeds"},
		{"control", minimal + "[ListenAddrs]\nControl = \"x\"\n", "ListenAddrs.Control"},
		{"text in ISO 8859-1", minimal + "Zone = \"repetici\xf3n\"\n", "line 3"},
		{"surrogate without its other half", minimal + "Zone = \"\\udcf3\"\n", "line 3"},
		{"negative fault tolerance", minimal + "[FaultTolerance]\nMachines = -1\n", "FaultTolerance.Machines"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeFile(t, c.text)
			_, err := Read(path)
			require.True(t, errors.Is(err, ErrSettings))
			require.ErrorContains(t, err, path)
			require.ErrorContains(t, err, c.want)
			require.NotContains(t, err.Error(), "\n")
		})
	}
}

// TestNoFile checks the errors for a file that does not exist and for an empty path variable.
func TestNoFile(t *testing.T) {
	_, err := Read(filepath.Join(t.TempDir(), "none"))
	require.True(t, errors.Is(err, ErrSettings))
	t.Setenv(PathVariable, "")
	_, err = Path()
	require.True(t, errors.Is(err, ErrSettings))
	require.ErrorContains(t, err, PathVariable)
}

// FuzzRead checks that any file is either read, or rejected with an error that names it. The zone of a
// file that is read can be sent to other processes.
func FuzzRead(f *testing.F) {
	f.Add([]byte(sample))
	f.Add([]byte("Ip = \"10.0.0.1\"\nPortRange = [1, 2]\n"))
	f.Add([]byte("PortRange = [9223372036854775807, -1]\n"))
	f.Add([]byte("Ip = \"10.0.0.1\"\nPortRange = [1, 2]\nZone = \"\xf3\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		path := writeFile(t, string(data))
		settings, err := Read(path)
		if err != nil {
			require.True(t, errors.Is(err, ErrSettings))
			require.ErrorContains(t, err, path)
			return
		}
		require.NotNil(t, settings)
		require.True(t, utf8.ValidString(settings.Zone), "%q", settings.Zone)
		settings.Contacts()
	})
}
