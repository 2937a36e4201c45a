package compatibility_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"frosttide/internal/control/cli"
	"frosttide/internal/control/metrics"
	"frosttide/internal/control/replica"
	"frosttide/internal/control/scheduler"
)

// JSON responses of a control plane machine's API, with all keys that they can have.
const (
	memberResponse = `{"view":{"epoch":7,"voters":[{"id":1,"number":1,"address":"10.0.0.1:7380","control":"10.0.0.1:8144","zone":"z1"},{"id":2,"number":2,"address":"10.0.0.2:7380","control":"10.0.0.2:8144","zone":"z2"}],` +
		`"previous":[{"id":1,"number":1}],"chain":[1,2],"next_number":3},"self":1,"promised":9,"installed_epoch":7,"index":12,"durable":11,"committed":10,"serving":true,"following":false,"disk_failed":true,"disk_lag_ms":250,"dropped":4,"silent_ms":{"2":40}}`
	schedulerResponse = `{"epoch":7,"config_version":3,"jobs":{"running":2},"services":{"toy":{"ready":20,"blocked":5,"started":15,"ended":{"done":11,"failed":2},"waiting_tasks":4,"waiting_steps":1,"oldest_wait_ms":1500}},` +
		`"runners":[{"id":"i1","service":"toy","companion":"10.0.1.1:7380","rack":"r1","labels":["a","r1-1"],"usable":true,"draining":true,"silent":true,"in_session":true,"suspect":true,` +
		`"capacity":{"cpu":4000,"mem_mb":8192,"gpus":2},"used":{"cpu":1000,"mem_mb":10,"gpus":1},"runs":1,"tasks":[{"task":"00000000000000a1.0.0.0","run":2,"state":"running","stopping":true,"for_ms":900}],` +
		`"lease_ms":5000,"lost_in_ms":0,"heard_ms_ago":30},{"id":"i2","service":"toy","companion":"10.0.1.2:7380","usable":false,"in_session":false,"capacity":{"cpu":0,"mem_mb":0,"gpus":0},"used":{"cpu":0,"mem_mb":0,"gpus":0},"runs":0,"lease_ms":0,"lost_in_ms":700}],` +
		`"waiting":[{"job":"00000000000000b2","queue":"previews","service":"toy","time":1,"step":2,"tasks":4,"gang":true,"priority":1,"for_ms":1500,"demand":{"cpu":64000,"mem_mb":10,"gpus":0},` +
		`"obstacles":{"runners":2,"unusable":1,"label":0,"too_small":1,"anti_affinity":0,"suspect":0,"full":0,"room":0,"largest_free":{"cpu":3000,"mem_mb":8182,"gpus":1}},"why":"the reason"}]}`
	jobResponse = `{"id":"00000000000000a1","queue":"previews","state":"running","accepted_ms":1800000000000,"ended_ms":1800000001000,"times":3,` +
		`"steps":[{"time":0,"step":1,"ready":true,"waiting":2,"tasks":[{"task":"00000000000000a1.0.1.0","run":2,"runner":"i1","phase":"running","failures":1}]}]}`
	historyResponse = `[{"version":3,"order":"ab12"},{"version":2,"order":"cd34"}]`
)

// fakeControl serves canned responses of a control plane machine's API and returns its address
// (host:port). Unless it is the head, it answers requests for jobs, runners and the history of the
// configuration with 503.
func fakeControl(t *testing.T, head bool) string {
	t.Helper()
	responses := map[string]string{"/v1/status": memberResponse, "/v1/config": `{"Version":3,"Routes":[],"Services":[]}`}
	if head {
		responses["/v1/scheduler"] = schedulerResponse
		responses["/v1/jobs"] = "[" + jobResponse + "]"
		responses["/v1/jobs/00000000000000a1"] = jobResponse
		responses["/v1/config/history"] = historyResponse
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, ok := responses[r.URL.Path]
		switch {
		case r.Method == http.MethodDelete && strings.HasSuffix(r.URL.Path, "a1"):
		case r.Method == http.MethodDelete:
			w.WriteHeader(http.StatusGone)
		case r.Method == http.MethodPut && r.Header.Get("If-Match") != "3":
			http.Error(w, "the current version is 3", http.StatusPreconditionFailed)
		case r.Method == http.MethodPut:
		case !ok:
			http.Error(w, "the control plane does not answer", http.StatusServiceUnavailable)
		default:
			_, _ = w.Write([]byte(body))
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// command runs frosttide-control in this process and returns its stdout, its stderr and its exit
// status.
func command(t *testing.T, args ...string) (out, errOut string, status int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status = cli.Main(t.Context(), args, &stdout, &stderr)
	return stdout.String(), stderr.String(), status
}

// TestCompatibilityOperatorOutput pins the machine-readable output of the operators' commands, and
// that they take the address from the environment variable FROSTTIDE_CONTROL.
func TestCompatibilityOperatorOutput(t *testing.T) {
	t.Setenv("FROSTTIDE_NODE_FILE", "")
	t.Setenv("FROSTTIDE_CONTROL", fakeControl(t, true))
	follower := fakeControl(t, false)
	var text strings.Builder
	for _, args := range [][]string{
		{"status", "--json"},
		{"status", "--json", "--at", follower},
		{"jobs", "list", "--json"},
		{"jobs", "show", "00000000000000a1", "--json"},
		{"runners", "--json"},
		{"config", "get"},
		{"config", "history"},
	} {
		out, errOut, status := command(t, args...)
		require.Zero(t, status, "%v: %s", args, errOut)
		fmt.Fprintf(&text, "$ frosttide-control %s\n%s", strings.ReplaceAll(strings.Join(args, " "), follower, "FOLLOWER"), out)
	}
	requireGolden(t, "operator-output.txt", text.String())
}

// TestCompatibilityExitStatuses pins the exit statuses of the operators' commands.
func TestCompatibilityExitStatuses(t *testing.T) {
	t.Setenv("FROSTTIDE_NODE_FILE", "")
	t.Setenv("FROSTTIDE_CONTROL", "")
	at, follower := fakeControl(t, true), fakeControl(t, false)
	good := writeFile(t, "good.json", `{"Version":4,"Routes":[],"Services":[]}`)
	bad := writeFile(t, "bad.json", `{"Routes":[]}`)
	settings := writeFile(t, "node.toml", minimalSettings)
	for _, c := range []struct {
		name   string
		args   []string
		status int
	}{
		{"help", []string{"help"}, 0},
		{"help as a flag", []string{"--help"}, 0},
		{"help of a command", []string{"status", "-h"}, 0},
		{"version", []string{"version"}, 0},
		{"version with an argument", []string{"version", "x"}, 2},
		{"no such command", []string{"nonsense"}, 2},
		{"status", []string{"status", "--at", at}, 0},
		{"status without a placement role", []string{"status", "--at", follower}, 0},
		{"status with an argument", []string{"status", "x", "--at", at}, 2},
		{"no address", []string{"status"}, 2},
		{"no such flag", []string{"status", "--bad"}, 2},
		{"nobody answers", []string{"status", "--at", "127.0.0.1:1"}, 1},
		{"runners", []string{"runners", "--at", at}, 0},
		{"runners refused", []string{"runners", "--at", follower}, 1},
		{"jobs listed", []string{"jobs", "list", "--at", at}, 0},
		{"job shown", []string{"jobs", "show", "00000000000000a1", "--at", at}, 0},
		{"jobs refused", []string{"jobs", "list", "--at", follower}, 1},
		{"job canceled", []string{"jobs", "cancel", "00000000000000a1", "--at", at}, 0},
		{"job not canceled", []string{"jobs", "cancel", "00000000000000ff", "--at", at}, 1},
		{"jobs without an action", []string{"jobs", "--at", at}, 2},
		{"configuration read", []string{"config", "get", "--at", at}, 0},
		{"configuration put", []string{"config", "put", good, "--at", at}, 0},
		{"configuration put on an old version", []string{"config", "put", good, "--if-match", "2", "--at", at}, 1},
		{"configuration with a mistake", []string{"config", "put", bad, "--at", at}, 1},
		{"configurations compared", []string{"config", "diff", good, "--at", at}, 0},
		{"configuration without an action", []string{"config", "--at", at}, 2},
		{"nothing to check", []string{"check"}, 2},
		{"files checked", []string{"check", "--settings", settings, "--config", good}, 0},
		{"mistakes found", []string{"check", "--settings", settings, "--config", bad}, 1},
		{"snapshot without an action", []string{"snapshot"}, 2},
		{"no snapshot", []string{"snapshot", "verify", good + ".none"}, 1},
		{"snapshot restored without settings", []string{"snapshot", "restore", good, "/nonexistent"}, 2},
		{"serve with an argument", []string{"serve", "x"}, 2},
		{"serve without settings", []string{"serve"}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, errOut, status := command(t, c.args...)
			require.Equal(t, c.status, status, "exit status; output: %s%s", out, errOut)
		})
	}
}

// jsonKeys writes the JSON keys of a Go type, with their JSON types and tag options such as
// omitempty.
func jsonKeys(text *strings.Builder, indent string, goType reflect.Type) {
	switch goType.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		jsonKeys(text, indent, goType.Elem())
		return
	case reflect.Struct:
	default:
		return
	}
	for i := range goType.NumField() {
		field := goType.Field(i)
		if !field.IsExported() {
			continue
		}
		if field.Anonymous && field.Tag.Get("json") == "" {
			jsonKeys(text, indent, field.Type)
			continue
		}
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" {
			name = field.Name
		}
		fmt.Fprintf(text, "%s%s %s %s\n", indent, name, jsonType(field.Type), options)
		jsonKeys(text, indent+"  ", field.Type)
	}
}

// jsonType describes the JSON form of a Go type.
func jsonType(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.Pointer:
		return jsonType(goType.Elem())
	case reflect.Slice:
		return "list of " + jsonType(goType.Elem())
	case reflect.Map:
		return "object by " + goType.Key().Kind().String() + " of " + jsonType(goType.Elem())
	case reflect.Struct:
		return "object"
	default:
		return goType.Kind().String()
	}
}

// TestCompatibilityStatusKeys pins the JSON keys of the responses that are encoded from Go types.
func TestCompatibilityStatusKeys(t *testing.T) {
	var text strings.Builder
	for _, endpoint := range []struct {
		path  string
		value any
	}{
		{"/v1/status", replica.Status{}}, {"/v1/scheduler", scheduler.Status{}}, {"/v1/jobs", []scheduler.JobStatus{}}, {"/v1/config/history", []scheduler.ConfigUpdate{}},
	} {
		fmt.Fprintln(&text, endpoint.path)
		jsonKeys(&text, "  ", reflect.TypeOf(endpoint.value))
	}
	requireGolden(t, "status-keys.txt", text.String())
}

// TestCompatibilityMetrics collects the metrics of fake control plane machines and pins their
// names, types, labels and values.
func TestCompatibilityMetrics(t *testing.T) {
	head, follower := fakeControl(t, true), fakeControl(t, false)
	registry := prometheus.NewPedanticRegistry()
	registry.MustRegister(metrics.NewCollector([]string{follower, head, "127.0.0.1:1"}))
	families, err := registry.Gather()
	require.NoError(t, err)
	var lines []string
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			var labels []string
			for _, label := range metric.GetLabel() {
				labels = append(labels, fmt.Sprintf("%s=%q", label.GetName(), label.GetValue()))
			}
			lines = append(lines, fmt.Sprintf("%s %s{%s} %v", strings.ToLower(family.GetType().String()), family.GetName(), strings.Join(labels, ","),
				metric.GetGauge().GetValue()+metric.GetCounter().GetValue()))
		}
	}
	text := strings.NewReplacer(head, "HEAD", follower, "FOLLOWER", "127.0.0.1:1", "NOBODY").Replace(strings.Join(lines, "\n"))
	sorted := strings.Split(text, "\n")
	slices.Sort(sorted)
	requireGolden(t, "metrics.txt", strings.Join(sorted, "\n")+"\n")
}
