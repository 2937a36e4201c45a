package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The tests of this file guard the compatibility of everything that clients, runners and operators
// exchange with the program: commands, flags, exit statuses, effective settings, endpoints. The
// golden files are from the build of 2 December 2026. The formats of files and messages are guarded
// by internal/testkit/compatibility/dispatcher.

// update makes the tests write their golden files instead of comparing with them.
var update = flag.Bool("update", false, "write the files under testdata")

// storedFormatsDir is the testdata folder of the package that guards the formats of stored files.
const storedFormatsDir = "../../internal/testkit/compatibility/dispatcher/testdata"

// compareGolden compares got with the golden file name, or writes the file if -update is set.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "compatibility", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", name, diff)
	}
}

// transcript runs the program in the folder dir and returns its exit status and its output as one
// text.
func transcript(t *testing.T, dir string, env []string, args ...string) string {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Dir = dir
	cmd.Env = append([]string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}, env...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	var exitErr *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exitErr) {
		t.Fatal(err)
	}
	return fmt.Sprintf("$ %s frosttide %s\nstatus %d\n-- standard output\n%s-- standard error\n%s\n",
		strings.Join(env, " "), strings.Join(args, " "), cmd.ProcessState.ExitCode(), out.String(), errs.String())
}

// platformFile is the platform's JSON file with every key outside of "settings" set.
const platformFile = `{"name":"platform","listen":"127.0.0.1:1001","discovery":"127.0.0.1:1002","console":"127.0.0.1:1003","seed":"1f",
"limits":{"cores":1.5,"memory_mb":200,"sockets":700},"known":{"rev":1,"all":true,"targets":[]},"settings":` + testSettings + `}`

// TestCompatibilityCheck guards the output of check: the value of each key, where it was set, and
// the mistakes that are reported.
func TestCompatibilityCheck(t *testing.T) {
	t.Parallel()
	folder := filepath.Join(storedFormatsDir, "settings")
	platform := filepath.Join(t.TempDir(), "platform.json")
	if err := os.WriteFile(platform, []byte(platformFile), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		env  []string
		args []string
	}{
		{"everything", nil, []string{"--config", "everything.toml"}},
		{"defaults", nil, []string{"--config", "defaults.toml"}},
		{"least", nil, []string{"--config", "least.toml"}},
		{"mistakes", nil, []string{"--config", "mistakes-everywhere.toml"}},
		{"syntax", nil, []string{"--config", "mistakes-syntax.toml"}},
		{"no-file", nil, []string{"--config", "none.toml"}},
		{"nothing", nil, nil},
		{"flags", []string{"FROSTTIDE_LOG_LEVEL=warn", "FROSTTIDE_LOG_FORMAT=json"}, []string{"-c", "defaults.toml", "--log-level", "error", "--log-format", "text"}},
		{"environment", []string{"BALANCER_NAME=n9", "BALANCER_LISTEN=127.0.0.1:2001", "BALANCER_DISCOVERY=127.0.0.1:2002", "BALANCER_CONSOLE=127.0.0.1:2003",
			"FROSTTIDE_LOG_LEVEL=warn", "FROSTTIDE_LOG_FORMAT=json", "FROSTTIDE_STATE_DIR=elsewhere", "OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:2004"},
			[]string{"--config", "defaults.toml"}},
		{"platform", []string{"BALANCER_CONFIG=" + platform}, nil},
		{"platform-over-settings", []string{"BALANCER_CONFIG=" + platform, "BALANCER_NAME=n9"}, []string{"--config", "everything.toml"}},
		{"bad-level", []string{"FROSTTIDE_LOG_LEVEL=loud"}, []string{"--config", "defaults.toml"}},
		{"bad-format", []string{"FROSTTIDE_LOG_FORMAT=xml"}, []string{"--config", "defaults.toml"}},
		{"bad-descriptor", []string{"BALANCER_FD=two"}, []string{"--config", "defaults.toml"}},
		{"bad-platform-file", []string{"BALANCER_CONFIG=none.json"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			got := transcript(t, folder, tc.env, append([]string{"check"}, tc.args...)...)
			got = strings.ReplaceAll(got, platform, "PLATFORM")
			// The width of the columns depends on the length of the file name, which differs from
			// run to run.
			compareGolden(t, "check/"+tc.name+".golden.txt", regexp.MustCompile(` +#`).ReplaceAllString(got, " #"))
		})
	}
}

// TestCompatibilityCommands guards the names of all commands and their flags.
func TestCompatibilityCommands(t *testing.T) {
	t.Parallel()
	flags := regexp.MustCompile(`(?m)^ +(-\w, )?(--[\w-]+)( \w+)?`)
	subcommands := regexp.MustCompile(`(?ms)^Available Commands:\n(.*?)\n\n`)
	name := regexp.MustCompile(`(?m)^  ([\w-]+)`)
	var out strings.Builder
	var walk func(path []string)
	walk = func(path []string) {
		help, errs, status := runCommand(t, nil, append(slices.Clone(path), "--help")...)
		fmt.Fprintf(&out, "frosttide %s: status %d%s\n", strings.Join(path, " "), status, errs)
		for _, f := range flags.FindAllStringSubmatch(help, -1) {
			fmt.Fprintf(&out, "    %s%s%s\n", f[1], f[2], f[3])
		}
		for _, list := range subcommands.FindAllStringSubmatch(help, -1) {
			for _, sub := range name.FindAllStringSubmatch(list[1], -1) {
				if sub[1] != "help" && sub[1] != "completion" { // generated by the command-line library
					walk(append(slices.Clone(path), sub[1]))
				}
			}
		}
	}
	walk(nil)
	compareGolden(t, "commands.golden.txt", out.String())
}

// TestCompatibilityExitStatuses guards the exit status and the error text of each way to end.
func TestCompatibilityExitStatuses(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	var out strings.Builder
	for _, args := range [][]string{
		{"sevre"}, {"serve", "now"}, {"--confg"}, {"check", "--config"}, {"demo", "--jobs", "0"},
		{"serve"}, {"serve", "--config", "none.toml"}, {},
		{"trace"}, {"trace", "show", "f"}, {"trace", "show", "none", "id"}, {"trace", "summary", "none"}, {"trace", "summary", "f", "--by", "moon"},
		{"trace", "summary", "f", "--from", "noon"}, {"trace", "summary", "f", "g"},
		{"state"}, {"state", "show"}, {"state", "show", "none"}, {"state", "show", "."}, {"state", "verify", "."}, {"state", "export", "."}, {"state", "import", "."},
		{"cluster", "members", "--console", "127.0.0.1:1"}, {"cluster", "join"}, {"cluster", "recover", "--config", "none.toml"},
	} {
		out.WriteString(transcript(t, dir, nil, args...))
	}
	// Texts of log lines may change; exit statuses and error texts may not.
	logLine := regexp.MustCompile(`time="[^"]*" level=error msg="[^"]*"`)
	compareGolden(t, "exit.golden.txt", logLine.ReplaceAllString(out.String(), "(log line)"))
}

// TestCompatibilityStateCommands guards the output of the commands that read the stored target list
// for files of an earlier build.
func TestCompatibilityStateCommands(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	if err := os.CopyFS(filepath.Join(dir, "storedlist"), os.DirFS(filepath.Join(storedFormatsDir, "storedlist"))); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, args := range [][]string{
		{"verify", "storedlist"}, {"verify", "storedlist", "--name", "n1"}, {"verify", "storedlist", "--name", "n2"},
		{"export", "storedlist", "--name", "n0"}, {"export", "storedlist", "--name", "n1"},
	} {
		out.WriteString(transcript(t, dir, nil, append([]string{"state"}, args...)...))
	}
	compareGolden(t, "state.golden.txt", out.String())
}

// exchangeText sends a request and returns the request and the response as text: the status, the
// headers, and the paths of the keys with the types of their values if the body is JSON, the whole
// body otherwise.
func exchangeText(t *testing.T, method, url, path, body string, headers map[string]string) string {
	t.Helper()
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request := fmt.Sprintf("%s %s", method, path)
	for _, name := range slices.Sorted(maps.Keys(headers)) {
		req.Header.Set(name, headers[name])
		request += fmt.Sprintf(" %s=%.60s", name, headers[name])
	}
	return request + fmt.Sprintf(" %.100s\n", body) + formatResponse(t, do(&http.Client{Transport: &http.Transport{}, Timeout: testTimeout}, req))
}

// exchangeUntilDone repeats a request while the response says that trying again is safe, as it does
// when a slow disk delays an operation.
func exchangeUntilDone(t *testing.T, method, url, path, body string) string {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; {
		text := exchangeText(t, method, url, path, body, nil)
		if !strings.Contains(text, "nothing is lost by trying again") || time.Now().After(deadline) {
			return text
		}
	}
}

// formatResponse returns a response as text, without the parts that differ from run to run.
func formatResponse(t *testing.T, a response) string {
	t.Helper()
	if a.Err != nil {
		t.Fatal(a.Err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "    %d, close %t\n", a.Status, a.Close)
	for _, name := range slices.Sorted(maps.Keys(a.Header)) {
		value := strings.Join(a.Header[name], " | ")
		switch name {
		case "Date", "Content-Length": // set by the HTTP server
			continue
		case "Retry-After":
			value = regexp.MustCompile(`^\d+\.\d{3}$`).ReplaceAllString(value, "seconds with three decimals")
		}
		fmt.Fprintf(&out, "    %s: %s\n", name, value)
	}
	var tree any
	if strings.HasPrefix(a.Header.Get("Content-Type"), "application/json") {
		if err := json.Unmarshal([]byte(a.Body), &tree); err != nil {
			t.Fatalf("invalid JSON body %q: %v", a.Body, err)
		}
		keys := map[string]bool{}
		collectKeys(keys, "", tree)
		for _, key := range slices.Sorted(maps.Keys(keys)) {
			fmt.Fprintf(&out, "    %s\n", key)
		}
		return out.String()
	}
	for line := range strings.Lines(a.Body) {
		fmt.Fprintf(&out, "    > %s\n", strings.TrimRight(line, "\n"))
	}
	return out.String()
}

// optionalKeys are the keys that are present or absent depending on timing. They are guarded by
// internal/testkit/compatibility/dispatcher.
var optionalKeys = map[string]bool{".back.waits": true, ".back.took": true, ".members[].trip": true, ".members[].stage": true, ".members[].log": true, ".members[].knew": true, ".members[].disk": true}

// collectKeys adds the paths of all keys of a JSON value to a set, with the types of their values.
func collectKeys(keys map[string]bool, path string, value any) {
	if optionalKeys[path] {
		return
	}
	switch v := value.(type) {
	case map[string]any:
		for key, member := range v {
			collectKeys(keys, path+"."+key, member)
		}
	case []any:
		keys[path+" is a list"] = true
		for _, item := range v {
			collectKeys(keys, path+"[]", item)
		}
	case nil:
		keys[path+" is null"] = true
	default:
		keys[fmt.Sprintf("%s is a %T", path, v)] = true
	}
}

// TestCompatibilityClients guards the responses to clients and runners at all endpoints.
func TestCompatibilityClients(t *testing.T) {
	t.Parallel()
	d, r := startWithRunner(t)
	url := "http://" + d.addr
	var out strings.Builder
	for _, tc := range []struct{ name, class, state string }{
		{"served", "render", "done"}, {"failed", "once", "failed"}, {"returned", "once", "returned"}, {"lost", "once", "lost"},
	} {
		got := submit(d.jobRequest(tc.class, tc.name))
		await(t, r.requests, "job at the runner").reply(202, "")
		d.sendReport(jobEvent(tc.name, r.uid, "started"))
		d.sendReport(jobEvent(tc.name, r.uid, tc.state))
		fmt.Fprintf(&out, "a job of class %s whose run ends as %s\n%s", tc.class, tc.state, formatResponse(t, await(t, got, "response")))
	}
	unusable := submit(d.jobRequest("render", "unusable"))
	await(t, r.requests, "job at the runner").reply(400, "")
	fmt.Fprintf(&out, "a job that the runner can't use\n%s", formatResponse(t, await(t, unusable, "response")))

	first := submit(d.jobRequest("render", "twice"))
	await(t, r.requests, "job at the runner").reply(202, "")
	fmt.Fprintf(&out, "a second request under the id of an open one\n%s", formatResponse(t, await(t, submit(d.jobRequest("render", "twice")), "response")))
	d.sendReport(jobEvent("twice", r.uid, "done"))
	await(t, first, "response")

	jobHeaders := map[string]string{"X-Trace-Id": "a", "X-Qos": "render", "X-Expires-In-Ms": "15000"}
	with := func(changes ...string) map[string]string {
		h := maps.Clone(jobHeaders)
		for i := 0; i < len(changes); i += 2 {
			if h[changes[i]] = changes[i+1]; changes[i+1] == "" {
				delete(h, changes[i])
			}
		}
		return h
	}
	for _, tc := range []struct {
		method, path, body string
		headers            map[string]string
	}{
		{"GET", "/_health", "", nil}, {"HEAD", "/_health", "", nil}, {"POST", "/_health", "", nil},
		{"GET", "/render/1", "", jobHeaders}, {"PUT", "/v1/job-events", "{}", nil},
		{"POST", "/render/1", "x", with("X-Trace-Id", "")}, {"POST", "/render/1", "x", with("X-Trace-Id", "a/b")},
		{"POST", "/render/1", "x", with("X-Qos", "karaoke")}, {"POST", "/nowhere/1", "x", with("X-Qos", "")}, {"POST", "/render/1", "x", with("X-Qos", "once")},
		{"POST", "/render/1", "x", with("X-Expires-In-Ms", "")}, {"POST", "/render/1", "x", with("X-Expires-In-Ms", "soon")},
		{"POST", "/render/1", "x", with("X-Props", "slots=two")}, {"POST", "/render/1", "x", with("X-Props", "slots=99")},
		{"POST", "/release/1", "x", with("X-Qos", "release")}, {"POST", "/render/1", strings.Repeat("x", 64<<10+1), jobHeaders},
		{"POST", "/render/1", "x", with("X-Workflow", "w1", "X-Workflow-Step", "1")},
		{"POST", "/v1/job-events", `{"id":"a","from":"s-1","state":"running","share":0.5,"load":{"queue":1}}`, nil},
		{"POST", "/v1/job-events", `{"ID":"a","FROM":"s-1","State":"done","RESULT":"r"}`, nil},
		{"POST", "/v1/job-events", `{"id":"a","from":"s-1","state":"dancing"}`, nil}, {"POST", "/v1/job-events", "", nil},
	} {
		out.WriteString(exchangeText(t, tc.method, url, tc.path, tc.body, tc.headers))
	}
	d.callConsole("PUT", "/api/exclude", `{"host":"s-1"}`)
	fmt.Fprintf(&out, "a job for which there is no runner\n%s", formatResponse(t, await(t, submit(d.jobRequest("render", "none")), "response")))
	compareGolden(t, "clients.golden.txt", out.String())
}

// TestCompatibilityConsole guards the responses of the console of a dispatcher outside of a
// cluster.
func TestCompatibilityConsole(t *testing.T) {
	t.Parallel()
	d, _ := startWithRunner(t)
	var out strings.Builder
	for _, tc := range []struct{ method, path, body string }{
		{"GET", "/api/ready", ""}, {"PUT", "/api/ready", ""}, {"GET", "/api/else", ""}, {"GET", "/", ""}, {"GET", "/api/telemetry", ""},
		{"GET", "/api/exclude", ""}, {"PUT", "/api/exclude", `{"host":"s-nobody"}`}, {"PUT", "/api/include", `{"host":"s-nobody"}`},
		{"PUT", "/api/exclude", `{"host":`}, {"PUT", "/api/exclude", `{}`}, {"PUT", "/api/exclude", `{"HOST":"s-1"}`}, {"PUT", "/api/include", `{"host":"s-1"}`},
		{"GET", "/api/cluster", ""}, {"GET", "/api/workflow", ""}, {"POST", "/api/workflow/begin", "{}"}, {"GET", "/api/gang", ""}, {"POST", "/api/gang", ""},
	} {
		out.WriteString(exchangeText(t, tc.method, "http://"+d.consoleAddr, tc.path, tc.body, nil))
	}
	compareGolden(t, "console.golden.txt", out.String())
}

// TestCompatibilityFleetConsole guards the responses to operators and workflow clients at the
// console of a member of a cluster.
func TestCompatibilityFleetConsole(t *testing.T) {
	t.Parallel()
	r := newRunner(t, "s-1")
	dir := t.TempDir()
	d := startWith(t, newDiscovery(t).URL, 1024, []string{r.entry()}, func(d *dispatcher) {
		path := filepath.Join(dir, "frosttide.toml")
		text := fmt.Sprintf("name = \"n0\"\n[cluster]\nlisten = \"%s:7946\"\nvoters = [\"n0\"]\ndir = %q\n[recovery]\nkeep = %q\n[workflow]\nenabled = true\n[gang]\nenabled = true\n",
			strings.Split(d.addr, ":")[0], filepath.Join(dir, "cluster"), filepath.Join(dir, "kept"))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d.cmd.Env = append(d.cmd.Env, "FROSTTIDE_STATE_DIR="+filepath.Join(dir, "state"))
		d.cmd.Args = append(d.cmd.Args, "serve", "--config", path)
	})
	d.callUntilApplied("exclude", "s-1")
	const undo = `"undo":{"class":"release","path":"/undo","key":"k","body":"YmFjaw=="}`
	begin := `{"id":"w1","deadline_ms":60000,"lease_ms":30000,"undo_tries":3}`
	for deadline := time.Now().Add(testTimeout); ; { // until this member runs workflows
		status, text := d.callConsole("POST", "/api/workflow/begin", begin)
		if status == 200 {
			break
		}
		if status != 503 || time.Now().After(deadline) {
			t.Fatalf("begin of a workflow got %d %q, want status 200", status, text)
		}
	}
	var out strings.Builder
	for _, tc := range []struct{ method, path, body string }{
		{"GET", "/api/cluster", ""}, {"POST", "/api/cluster", ""}, {"GET", "/api/cluster/runners", ""}, {"GET", "/api/cluster/else", ""},
		{"POST", "/api/cluster/snapshot", ""}, {"POST", "/api/cluster/join", `{"address":7}`}, {"POST", "/api/cluster/join", `{"Address":"127.0.0.1:1"}`},
		{"POST", "/api/cluster/remove", `{"name":7}`}, {"POST", "/api/cluster/remove", `{"name":"nobody"}`},
		{"POST", "/api/workflow/begin", begin}, {"POST", "/api/workflow/begin", `{"id":"w2"}`}, {"POST", "/api/workflow/begin", `{`},
		{"POST", "/api/workflow/step", `{"id":"w1","step":1}`}, {"POST", "/api/workflow/step", `{"id":"w1","step":2,` + undo + `}`},
		{"POST", "/api/workflow/step", `{"id":"w1","step":1,` + undo + `}`}, {"POST", "/api/workflow/touch", `{"id":"w1"}`},
		{"POST", "/api/workflow/commit", `{"id":"w1","steps":2}`}, {"POST", "/api/workflow/skip", `{"id":"w1","step":1}`}, {"POST", "/api/workflow/again", `{"id":"w1"}`},
		{"POST", "/api/workflow/give-up", `{"id":"w1","why":"x"}`}, {"POST", "/api/workflow/undo", `{"id":"nobody"}`}, {"POST", "/api/workflow/settle", `{"id":"w1"}`},
		{"GET", "/api/workflow", ""}, {"GET", "/api/workflow/w1", ""}, {"GET", "/api/workflow/nobody", ""},
		{"POST", "/api/workflow/commit", `{"id":"w1","steps":1}`}, {"POST", "/api/workflow/undo", `{"id":"w1"}`},
		{"GET", "/api/gang", ""}, {"GET", "/api/ready", ""},
	} {
		out.WriteString(exchangeUntilDone(t, tc.method, "http://"+d.consoleAddr, tc.path, tc.body))
	}
	status, metrics := d.callConsole("GET", "/api/telemetry", "")
	fmt.Fprintf(&out, "GET /api/telemetry\n    %d\n", status)
	for line := range strings.Lines(metrics) {
		if strings.HasPrefix(line, "# TYPE") {
			fmt.Fprintf(&out, "    > %s", line)
		}
	}
	compareGolden(t, "fleet.golden.txt", strings.ReplaceAll(out.String(), strings.Split(d.addr, ":")[0], "HOST"))
}
