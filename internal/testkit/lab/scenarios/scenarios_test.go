package scenarios

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"
)

const site = `name = "small"
wire = "wire.json"
zones = [{ name = "east", region = "r" }, { name = "west", region = "r" }]
machines = [
  { class = "front", zone = "east", count = 1, cores = 1, cpu_share = 0.3 },
  { class = "front", zone = "west", count = 1, cores = 1, cpu_share = 0.3 },
  { class = "side", zone = "west", count = 2, cores = 1, cpu_share = 0.2 },
  { class = "core", zone = "east", count = 2, cores = 1, cpu_share = 0.8, disk = { mb = 128, sync_ms = 6.0 } },
  { class = "core", zone = "west", count = 1, cores = 1, cpu_share = 0.8, disk = { mb = 128, sync_ms = 6.0 } },
]
classes = [{ name = "clips", priority = 0 }]
traffic = [{ zone = "east", per_s = 2.0 }]
[tolerate]
machines = 1
[net]
cross_zone_ms = 1.4
[discovery]
beat_ms = 1500
[timing]
hold_max_ms = 10000.0
[[day]]
name = "quiet-1"
seed = 5
faults = []
plan = []
traffic = [{ zone = "west", per_s = 2.0 }]
`

// generate returns a variation of site, and checks that a second call gives the same.
func generate(t *testing.T, o Options) table {
	t.Helper()
	out, err := Generate([]byte(site), o)
	require.NoError(t, err)
	again, err := Generate([]byte(site), o)
	require.NoError(t, err)
	require.Equal(t, string(out), string(again), "equal options have to give equal variations")
	var root table
	require.NoError(t, toml.Unmarshal(out, &root))
	return root
}

// TestVariationsAreSound guards against variations that the bench can't run: references to zones
// that do not exist, lost machines, or a control plane without a majority after the tolerated
// failures. It also checks that every kind of fault is drawn.
func TestVariationsAreSound(t *testing.T) {
	kindsDrawn := make(map[string]bool)
	for seed := range uint64(300) {
		root := generate(t, Options{Seed: seed, Days: 5, Folder: "/folder"})
		require.Equal(t, "/folder/wire.json", root["wire"])
		zones := make(map[string]bool)
		for _, z := range tables(root["zones"]) {
			zones[z["name"].(string)] = true
		}
		require.LessOrEqual(t, len(zones), maxZones)
		core, sides := 0, 0
		for _, m := range tables(root["machines"]) {
			require.Contains(t, zones, m["zone"])
			switch m["class"] {
			case coreClass:
				core += int(toFloat(m["count"]))
			case "side":
				sides += int(toFloat(m["count"]))
			}
		}
		tolerated := int(toFloat(root["tolerate"].(table)["machines"]))
		require.GreaterOrEqual(t, core, 2*tolerated+1, "a majority of the core machines has to survive the tolerated failures")
		require.Equal(t, 2, sides, "number of machines of class side")
		for _, day := range tables(root["day"]) {
			for _, traffic := range tables(day["traffic"]) {
				require.Contains(t, zones, traffic["zone"])
			}
			for _, fault := range append(tables(day["plan"]), tables(day["faults"])...) {
				kindsDrawn[fault["kind"].(string)] = true
			}
		}
	}
	require.Len(t, kindsDrawn, len(faultKinds), "kinds of faults drawn")
}

// TestSameDeployment guards against changes of the deployment with KeepDeployment.
func TestSameDeployment(t *testing.T) {
	root := generate(t, Options{Seed: 3, Days: 2, KeepDeployment: true})
	require.Len(t, tables(root["zones"]), 2)
	require.Len(t, tables(root["day"]), 3)
	require.EqualValues(t, 1500, root["discovery"].(table)["beat_ms"])
}

// TestSiteThatCannotBeVaried guards against invalid sites that are accepted, or rejected without
// their reason.
func TestSiteThatCannotBeVaried(t *testing.T) {
	for text, reason := range map[string]string{
		"= 3":                      "it is not valid TOML",
		"name = 'a'":               "zones: none is defined",
		"zones = [{ name = 'a' }]": `machines: none has class "core"`,
		"zones = [{ name = 'a' }]\nmachines = [{ class = 'core', count = 1 }]": "day: none is defined",
	} {
		_, err := Generate([]byte(text), Options{})
		require.True(t, errors.Is(err, ErrSite))
		require.ErrorContains(t, err, reason)
	}
}
