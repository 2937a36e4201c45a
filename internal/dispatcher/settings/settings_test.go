package settings

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"frosttide/deploy"
)

// minimalClass is a request class with only the required keys.
const minimalClass = "[[class]]\nname = \"a\"\nwanted_within = \"1s\"\ngive_up = \"2s\"\n"

// invalidFiles holds settings files and the errors that each must lead to.
var invalidFiles = []struct {
	name, text string
	want       []string
}{
	{"unknown keys", "nmae = \"a\"\n[attempts]\nmost = 3\nmots = 4\n[atempts]\n" + minimalClass, []string{
		"f:1: nmae: there is no such key; did you mean name?",
		"f:4: attempts.mots: there is no such key; did you mean attempts.most?",
		"f:5: atempts: there is no such key"}},
	{"wrong types and ranges", "[attempts]\nmost = \"three\"\nconnect_timeout = 250\n[limits]\nmemory = \"8MB\"\nsockets = 3\n[cold]\nstarts_at = 1.5\n" + minimalClass, []string{
		`f:2: attempts.most: a whole number is wanted, not "three"`,
		`f:3: attempts.connect_timeout: a time such as "10s" or "250ms" is wanted, not 250`,
		"f:5: limits.memory: 8MB is not from 32MB to 1024GB",
		"f:6: limits.sockets: 3 is not from 64 to 1048576",
		"f:8: cold.starts_at: 1.5 is not from 0 to 1"}},
	{"classes", minimalClass + "effect = \"keyed\"\nkind = \"x\"\n[[class]]\nname = \"a\"\nworht = 2\n", []string{
		"f:1: class[0].window: a keyed class needs the time for which repeats are dropped",
		`f:6: class[0].kind: "x" is not among fleet.kinds`,
		"f:7: class[1].wanted_within: it is missing",
		"f:7: class[1].give_up: it is missing",
		`f:8: class[1].name: "a" is there twice`,
		"f:9: class[1].worht: there is no such key; did you mean class[1].worth?"}},
	{"fixed runner list and discovery", minimalClass + "[discovery]\naddress = \"127.0.0.1:1\"\n[[runner]]\nid = \"a\"\naddress = \"nowhere\"\n", []string{
		"f: runner: a fixed list goes without discovery; leave one of them out",
		`f:9: runner[0].address: "nowhere" is no address such as 127.0.0.1:8081`}},
	{"dispatcher number out of range", minimalClass + "[fleet]\ndispatchers = 80\nnumber = 80\n", []string{
		"f:7: fleet.number: 80 is not the number of one of 80 dispatchers, which count from 0"}},
	{"zero dispatchers", minimalClass + "[fleet]\ndispatchers = 0\n", []string{"f:6: fleet.dispatchers: 0 is not from 1 to 65536"}},
	{"tenants, reports and lists", minimalClass + "[discovery]\nlist = \"pulled\"\n[probes]\nreport = \"answers\"\ncolumns = [\"queue\"]\nfree_slots = \"x0\"\n" +
		"[[tenant]]\nname = \"n\"\n[[tenant]]\nname = \"n\"\nper_second = -1\n[[tenant]]\n", []string{
		`f:6: discovery.list: "pulled" is none of asked, pushed`,
		`f:10: probes.free_slots: "x0" is not among probes.columns`,
		`f:14: tenant[1].name: "n" is there twice`,
		"f:15: tenant[1].per_second: -1 is not from 0 to 1e+09",
		"f:16: tenant[2].name: it is missing"}},
	{"cluster", minimalClass + "[cluster]\nlisten = \"10.0.0.1:7946\"\njoin = [\"nowhere\"]\nvoters = [\"frosttide\", \"b\"]\n", []string{
		"f:5: cluster.dir: it is missing, and \"frosttide\" votes: what it acknowledges has to be on disk",
		"f:6: cluster.listen: members talk in plain text; say plain_text = true where that is meant",
		`f:7: cluster.join: item 1: "nowhere" is no address such as 127.0.0.1:8081`,
		"f:8: cluster.voters: 2 voters bear no more losses than 1; name an odd number"}},
	{"cluster listening on all interfaces", minimalClass + "[cluster]\nlisten = \"0.0.0.0:7946\"\nplain_text = true\n", []string{
		"f:5: cluster.advertise: it has to say where others reach a dispatcher that listens everywhere",
		"f:5: cluster.voters: it is missing; name one, three or five members"}},
	{"cluster without a listen address", minimalClass + "[cluster]\nvoters = [\"a\"]\n", []string{"f:5: cluster.listen: it is missing, and cluster.voters is there"}},
	{"syntax", "name = \n", []string{"f:1: "}},
	{"table instead of a value", "[name]\nx = 1\n" + minimalClass, []string{"f:1: name: a text in quotes is wanted, not a table"}},
	{"value instead of a table", "listen = 3\n" + minimalClass, []string{"f:1: listen: it is written as a table, [listen]"}},
	{"headers", minimalClass + "[telemetry.otlp]\nheaders = {a = 1}\n", []string{`f:6: telemetry.otlp.headers: its value of "a" is no text`}},
}

// TestKeyErrors checks that all errors of a file are returned at once, each with its line and key.
func TestKeyErrors(t *testing.T) {
	for _, tc := range invalidFiles {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse("f", []byte(tc.text))
			if err == nil {
				t.Fatal("got no error for an invalid file")
			}
			got := strings.Split(err.Error(), "\n")
			if tc.name == "syntax" { // the TOML library words the reason
				got[0] = got[0][:min(len(got[0]), len(tc.want[0]))]
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("errors (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSample checks that the sample file is valid and that the defaults stated in its comments are
// right.
func TestSample(t *testing.T) {
	f, err := Parse("sample", deploy.Sample)
	if err != nil {
		t.Fatal(err)
	}
	if f.Platform["listen"] != "127.0.0.1:8081" || len(f.Values) < 30 {
		t.Errorf("got platform settings %v, want the sample's listen address, and at least 30 values", f.Platform)
	}
	bare, err := Parse("bare", []byte(minimalClass))
	if err != nil {
		t.Fatal(err)
	}
	defaults := map[string]string{}
	for _, v := range bare.Values {
		if v.Source == "default" {
			defaults[v.Key] = v.Text
		}
	}
	table := ""
	for _, line := range strings.Split(string(deploy.Sample), "\n") {
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(strings.Split(line, " ")[0], "[]")
		}
		value, note, ok := strings.Cut(line, "default ")
		key, _, set := strings.Cut(value, " = ")
		if !ok || !set || strings.HasPrefix(line, "#") {
			continue
		}
		if table == "class" {
			table = "class[0]"
		}
		name := strings.TrimPrefix(table+"."+key, ".")
		stated, _, _ := strings.Cut(strings.Split(note, ";")[0], ": ")
		plain := func(s string) string { return strings.TrimSuffix(strings.Trim(s, `'"`), ".0") }
		if got, want := plain(stated), plain(defaults[name]); got != want {
			t.Errorf("%s: got default %s in the sample, want %s", name, got, want)
		}
	}
}

// TestUnits checks the conversion of names, keywords and units to the platform's form.
func TestUnits(t *testing.T) {
	f, err := Parse("f", []byte("[discovery]\nlist=\"pushed\"\naddress=\"127.0.0.1:1\"\n[probes]\nreport=\"answers\"\ncolumns=[\"queue\",\"x0\"]\nfree_slots=\"x0\"\n"+
		minimalClass+"[[tenant]]\nname=\"n\"\nper_second=3\n"))
	if err != nil {
		t.Fatal(err)
	}
	s := f.Platform["settings"].(map[string]any)
	got := []any{s["discovery"], s["report"], s["family-info"].(map[string]any)["report-x0"], s["tenants"]}
	if diff := cmp.Diff([]any{"pushed", map[string]any{"source": "answers", "columns": []any{"queue", "x0"}}, "free slots",
		[]any{map[string]any{"name": "n", "quota-per-s": 3.0}}}, got); diff != "" {
		t.Errorf("platform settings (-want +got):\n%s", diff)
	}
	f, err = Parse("f", []byte("[fleet]\nzones=[\"a\",\"b\"]\nzone=\"b\"\nkinds=[\"x\",\"y\"]\n[limits]\nmemory=\"1GB\"\n"+minimalClass+
		"kind=\"y\"\n[[runner]]\nid=\"r\"\naddress=\"127.0.0.1:9\"\nzone=\"a\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	s = f.Platform["settings"].(map[string]any)
	got = []any{f.Platform["limits"].(map[string]any)["memory_mb"], s["zone"], s["discovery"],
		s["request-classes"].([]any)[0].(map[string]any)["give-up"], s["family-info"].(map[string]any)["class-kind"],
		f.Platform["known"].(map[string]any)["targets"].([]any)[0].(map[string]any)["uid"]}
	if diff := cmp.Diff([]any{int64(1024), 1, "none", int64(2000000), []any{1}, "r"}, got); diff != "" {
		t.Errorf("platform settings (-want +got):\n%s", diff)
	}
}

// FuzzParse checks that any text yields either a File or errors that name the file, and no panic.
func FuzzParse(f *testing.F) {
	f.Add(deploy.Sample)
	f.Add(deploy.Cluster)
	f.Add([]byte(minimalClass))
	f.Add([]byte("[[tenant]]\nname = 3\n[probes]\ncolumns = [1]\nfree_slots = \"x\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := Parse("f", text)
		if (file == nil) != (err != nil) {
			t.Errorf("got file %v and error %v, want exactly one of them", file, err)
		}
		if err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Errorf("got an error that does not name the file: %v", err)
		}
	})
}

// TestClusterSample checks the settings that the sample file for a cluster yields.
func TestClusterSample(t *testing.T) {
	f, err := Parse("sample", deploy.Cluster)
	if err != nil {
		t.Fatal(err)
	}
	want := Cluster{Listen: "127.0.0.1:7946", Join: []string{"127.0.0.2:7946", "127.0.0.3:7946"}, Voters: []string{"studio-1", "studio-2", "studio-3"}, Dir: "cluster", WatermarkDir: "cluster-kept", StagedRejoin: true, Workflows: true, MaxCompensations: 16}
	if diff := cmp.Diff(want, f.Cluster); diff != "" {
		t.Error(diff)
	}
}
