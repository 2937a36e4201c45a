package compatibility_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"frosttide/internal/control/server"
	"frosttide/internal/data/agent"
	"frosttide/internal/data/gateway"
	"frosttide/internal/nodefile"
)

const (
	// waitTimeout bounds each wait. It is long because the host that runs the tests may be slow.
	waitTimeout = 30 * time.Second
	// pollInterval is the interval between two checks of a condition.
	pollInterval = 10 * time.Millisecond
)

// freePort returns a TCP port on loopback that is not in use.
func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// machine is a machine of a system on loopback. Its role runs in the process of the test.
type machine struct {
	front, readiness, control string // listen addresses, host:port
}

// runFunc runs a role of the programs until the context is canceled.
type runFunc func(ctx context.Context, path string, settings *nodefile.File) error

// startMachine runs a role at an IP address on loopback. The returned function stops it and waits
// until it has returned. Without seeds the machine is its own seed.
func startMachine(t *testing.T, role runFunc, ip string, internalPort int, seeds ...string) (m machine, stop func()) {
	t.Helper()
	m = machine{front: fmt.Sprint(ip, ":", freePort(t)), readiness: fmt.Sprint(ip, ":", freePort(t)), control: fmt.Sprint(ip, ":", freePort(t))}
	if len(seeds) == 0 {
		seeds = []string{m.control}
	}
	path := writeFile(t, "node.toml", fmt.Sprintf("Ip = %q\nZone = \"z1\"\nPortRange = [%d, %d]\nSeeds = [\"%s\"]\nBootstrap = true\nDataDir = %q\n"+
		"[ListenAddrs]\nFront = %q\nReadiness = %q\nControl = %q\n[Bounds]\nHoldMaxMs = 6000\nRecoveryS = 6\nGraceS = 0.1\n",
		ip, internalPort, internalPort, strings.Join(seeds, `", "`), filepath.Join(t.TempDir(), "data"), m.front, m.readiness, m.control))
	settings, err := nodefile.Read(path)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- role(ctx, path, settings) }()
	stopped := false
	stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		require.NoError(t, <-result)
	}
	t.Cleanup(stop)
	return m, stop
}

// request is an HTTP request to an endpoint.
type request struct {
	method, url, host, body string
	headers                 map[string]string
}

// response is the HTTP response of an endpoint. Its status is 0 if there is none.
type response struct {
	status  int
	headers http.Header
	body    string
}

// call sends a request. If it fails, the status of the returned response is 0.
func call(ctx context.Context, r request) response {
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+r.url, bytes.NewReader([]byte(r.body)))
	if err != nil {
		return response{}
	}
	out.Host = r.host
	for name, value := range r.headers {
		out.Header.Set(name, value)
	}
	got, err := http.DefaultClient.Do(out)
	if err != nil {
		return response{}
	}
	defer got.Body.Close()
	body, err := io.ReadAll(got.Body)
	if err != nil {
		return response{}
	}
	return response{status: got.StatusCode, headers: got.Header, body: string(body)}
}

// awaitResponse repeats a request until its response is accepted.
func awaitResponse(t *testing.T, r request, accepted func(response) bool) (got response) {
	t.Helper()
	require.Eventually(t, func() bool {
		got = call(t.Context(), r)
		return accepted(got)
	}, waitTimeout, pollInterval, "no expected response to %s %s", r.method, r.url)
	return got
}

// callWithRetry repeats a request until the control plane responds to it, since a slow host may
// delay that. The request may therefore take effect more than once.
func callWithRetry(t *testing.T, r request) response {
	t.Helper()
	return awaitResponse(t, r, func(a response) bool {
		return a.status != 0 && a.status != http.StatusServiceUnavailable && a.status != http.StatusGatewayTimeout
	})
}

// hasStatus returns a condition for awaitResponse: that a response has the given status.
func hasStatus(status int) func(response) bool {
	return func(a response) bool { return a.status == status }
}

// transcript records responses as text, without the parts that differ from run to run.
type transcript struct{ text strings.Builder }

// comparedHeaders are the headers that clients rely on.
var comparedHeaders = []string{"Allow", "Content-Type", "Retry-After", "X-Content-Type-Options"}

// record adds the response to the named request.
func (s *transcript) record(name string, a response) {
	fmt.Fprintf(&s.text, "%s: %d\n", name, a.status)
	for _, header := range comparedHeaders {
		if value := a.headers.Get(header); value != "" {
			fmt.Fprintf(&s.text, "  %s: %s\n", header, value)
		}
	}
	if a.body != "" {
		fmt.Fprintf(&s.text, "  body: %s\n", strings.TrimSpace(a.body))
	}
}

// keysOnly returns a response whose body is replaced by the sorted keys of its JSON, with their
// types.
func keysOnly(t *testing.T, a response) response {
	t.Helper()
	var value any
	require.NoError(t, json.Unmarshal([]byte(a.body), &value), a.body)
	keys := make(map[string]bool)
	collectKeys(keys, "", value)
	a.body = strings.Join(slices.Sorted(maps.Keys(keys)), " ")
	return a
}

// numericKey matches keys that are random numbers, such as the IDs of members.
var numericKey = regexp.MustCompile(`^[0-9]+$`)

// transientKeys are not compared: they are omitted from responses when they are empty, which
// depends on the moment.
var transientKeys = map[string]bool{"heard_ms_ago": true, "silent": true, "suspect": true, "lost_in_ms": true}

// collectKeys adds the path and type of each value in a JSON document that is neither an object nor
// a list.
func collectKeys(keys map[string]bool, path string, value any) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			if transientKeys[key] {
				continue
			}
			collectKeys(keys, path+"."+numericKey.ReplaceAllString(key, "N"), inner)
		}
	case []any:
		for _, inner := range value {
			collectKeys(keys, path+"[]", inner)
		}
	case nil:
		keys[path+":null"] = true
	default:
		keys[fmt.Sprintf("%s:%T", path, value)] = true
	}
}

// variableNumbers matches numbers in responses that differ from run to run.
var variableNumbers = regexp.MustCompile(`("(?:accepted_ms|ended_ms|for_ms|FenceToken|HoldMs)":)[0-9]+`)

// maskNumbers returns a response in which the numbers that differ from run to run are replaced by
// N.
func maskNumbers(a response) response {
	a.body = variableNumbers.ReplaceAllString(a.body, "${1}N")
	return a
}

const (
	routes = `{"Version":1,"Routes":[{"Name":"previews","Host":"jobs.example","PathPrefix":"/previews/","TimeoutMs":3000,"Service":"toy"},` +
		`{"Name":"batches","Host":"jobs.example","PathPrefix":"/batches/","TimeoutMs":3000,"Service":"toy"}],"Services":[{"Name":"toy"}],"Limits":{"MaxBodyBytes":2000}}`
	jobBody   = `{"Spec":"sleep","Stages":[{"Count":1,"Cpu":1000,"MemMb":10,"EstimateMs":300}]}`
	timedBody = `{"Spec":"sleep","Stages":[{"Count":1,"Cpu":1000,"MemMb":10}],"MaxRuns":2,"StartAtMs":4000000000000,"IntervalMs":500}`
	largeBody = `{"Spec":"x","Stages":[{"Count":1,"Cpu":64000,"MemMb":10}]}`
)

// TestCompatibilityEndpoints runs a system with one machine of each role and pins the responses of
// all endpoints.
func TestCompatibilityEndpoints(t *testing.T) {
	t.Parallel()
	port := freePort(t)
	core, stopCore := startMachine(t, server.Run, "127.0.0.1", port)
	gatewayMachine, _ := startMachine(t, gateway.Run, "127.0.0.2", port, core.control)
	agentMachine, _ := startMachine(t, agent.Run, "127.0.0.3", port, core.control)
	gatewayWithoutConfig(t, gatewayMachine)
	controlEndpoints(t, core)
	awaitResponse(t, request{method: http.MethodGet, url: gatewayMachine.readiness + "/v1/ready"}, hasStatus(http.StatusOK))
	gatewayEndpoints(t, gatewayMachine)
	jobEndpoints(t, core, gatewayMachine, agentMachine)
	stopCore()
	gatewayWithoutControl(t, gatewayMachine)
}

// gatewayWithoutConfig pins the responses of a gateway before the first configuration.
func gatewayWithoutConfig(t *testing.T, gatewayMachine machine) {
	t.Helper()
	var s transcript
	s.record("readiness before a configuration", awaitResponse(t, request{method: http.MethodGet, url: gatewayMachine.readiness + "/v1/ready"}, hasStatus(http.StatusServiceUnavailable)))
	s.record("readiness by another method", callWithRetry(t, request{method: http.MethodPost, url: gatewayMachine.readiness + "/v1/ready"}))
	s.record("no such path of the readiness", callWithRetry(t, request{method: http.MethodGet, url: gatewayMachine.readiness + "/v1/none"}))
	s.record("job before a configuration", awaitResponse(t, request{method: http.MethodPost, url: gatewayMachine.front + "/previews/00000000000000a1", host: "jobs.example", body: jobBody},
		hasStatus(http.StatusServiceUnavailable)))
	requireGolden(t, "edge-before.txt", s.text.String())
}

// controlEndpoints pins the responses of the operators' API, and puts the first configuration.
func controlEndpoints(t *testing.T, core machine) {
	t.Helper()
	var s transcript
	url := core.control + "/v1/config"
	s.record("configuration before any", awaitResponse(t, request{method: http.MethodGet, url: url}, hasStatus(http.StatusNotFound)))
	match := func(version string) map[string]string { return map[string]string{"If-Match": version} }
	for _, c := range []struct {
		name string
		call request
	}{
		{"put without If-Match", request{method: http.MethodPut, url: url, body: routes}},
		{"put with a bad If-Match", request{method: http.MethodPut, url: url, body: routes, headers: match("x")}},
		{"put of no JSON", request{method: http.MethodPut, url: url, body: "{", headers: match("0")}},
		{"put of a text that is not UTF-8", request{method: http.MethodPut, url: url, body: `{"Version":1,"Routes":[{"Name":"repetici` + "\xf3" + `n"}]}`, headers: match("0")}},
		{"put of a mistake", request{method: http.MethodPut, url: url, body: `{"Version":1,"Routes":{}}`, headers: match("0")}},
		{"put on another version", request{method: http.MethodPut, url: url, body: routes, headers: match("3")}},
		{"put", request{method: http.MethodPut, url: url, body: routes, headers: match(`"0"`)}},
		{"the same put again", request{method: http.MethodPut, url: url, body: routes, headers: match("0")}},
		{"patch", request{method: http.MethodPatch, url: url, body: `{"Version":2,"Upsert":{"Services":[{"Name":"other"}]}}`, headers: match("1")}},
		{"patch of a mistake", request{method: http.MethodPatch, url: url, body: `{"Version":3,"Remove":{"Services":["toy","other"],"Routes":["batches"]}}`, headers: match("2")}},
		{"post", request{method: http.MethodPost, url: url, body: routes}},
		{"configuration", request{method: http.MethodGet, url: url}},
		{"history", request{method: http.MethodGet, url: url + "/history"}},
		{"no jobs", request{method: http.MethodGet, url: core.control + "/v1/jobs"}},
		{"no such job", request{method: http.MethodGet, url: core.control + "/v1/jobs/00000000000000ff"}},
		{"no such job canceled", request{method: http.MethodDelete, url: core.control + "/v1/jobs/00000000000000ff"}},
		{"job whose ID is not UTF-8", request{method: http.MethodGet, url: core.control + "/v1/jobs/repetici%F3n"}},
		{"job whose ID is not UTF-8 canceled", request{method: http.MethodDelete, url: core.control + "/v1/jobs/repetici%F3n"}},
		{"no such path", request{method: http.MethodGet, url: core.control + "/v1/none"}},
	} {
		s.record(c.name, callWithRetry(t, c.call))
	}
	s.record("member", keysOnly(t, callWithRetry(t, request{method: http.MethodGet, url: core.control + "/v1/status"})))
	requireGolden(t, "control.txt", s.text.String())
}

// gatewayEndpoints pins the responses of a gateway to requests that start no job.
func gatewayEndpoints(t *testing.T, gatewayMachine machine) {
	t.Helper()
	var s transcript
	s.record("readiness", callWithRetry(t, request{method: http.MethodGet, url: gatewayMachine.readiness + "/v1/ready"}))
	for _, c := range []struct{ name, method, path, host, body string }{
		{"no such queue", http.MethodPost, "/none/00000000000000a1", "jobs.example", jobBody},
		{"no such host", http.MethodPost, "/previews/00000000000000a1", "other.example", jobBody},
		{"host in other letters with a port", http.MethodGet, "/previews/", "JOBS.example:80", ""},
		{"job without an ID", http.MethodPost, "/previews/", "jobs.example", jobBody},
		{"bad ID", http.MethodPost, "/previews/xyz", "jobs.example", jobBody},
		{"no JSON", http.MethodPost, "/previews/00000000000000a1", "jobs.example", "{"},
		{"no object", http.MethodPost, "/previews/00000000000000a1", "jobs.example", "[]"},
		{"no steps", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Stages":[]}`},
		{"spec is no text", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Spec":1}`},
		{"number below 0", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"MaxRuns":-1}`},
		{"count as a text", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Stages":[{"Count":"x"}]}`},
		{"gang as a number", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Stages":[{"Count":1},{"Gang":1}]}`},
		{"step that depends on itself", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Stages":[{"Count":1,"DependsOn":[0]}]}`},
		{"dependencies are no numbers", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Stages":[{"Count":1,"DependsOn":["a"]}]}`},
		{"too many tasks", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Stages":[{"Count":10001}]}`},
		{"too many times", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"MaxRuns":100001,"Stages":[{"Count":1}]}`},
		{"body too large", http.MethodPost, "/previews/00000000000000a1", "jobs.example", `{"Spec":"` + strings.Repeat("x", 2000) + `"}`},
		{"other method", http.MethodPut, "/previews/00000000000000a1", "jobs.example", jobBody},
		{"delete without an ID", http.MethodDelete, "/previews/", "jobs.example", ""},
		{"state of no job", http.MethodGet, "/previews/00000000000000a1", "jobs.example", ""},
		{"no job canceled", http.MethodDelete, "/previews/00000000000000d9", "jobs.example", ""},
		{"no job canceled again", http.MethodDelete, "/previews/00000000000000d9", "jobs.example", ""},
		{"job that was canceled before", http.MethodPost, "/previews/00000000000000d9", "jobs.example", jobBody},
		{"state of a job that was canceled before", http.MethodGet, "/previews/00000000000000d9", "jobs.example", ""},
	} {
		s.record(c.name, callWithRetry(t, request{method: c.method, url: gatewayMachine.front + c.path, host: c.host, body: c.body}))
	}
	requireGolden(t, "edge.txt", s.text.String())
}

// jobEndpoints pins the responses of all three roles in the course of some jobs.
func jobEndpoints(t *testing.T, core, gatewayMachine, agentMachine machine) {
	t.Helper()
	var s transcript
	client := func(method, queue, id, body string) response {
		return callWithRetry(t, request{method: method, url: gatewayMachine.front + "/" + queue + "/" + id, host: "jobs.example", body: body})
	}
	operator := func(path string) response {
		return callWithRetry(t, request{method: http.MethodGet, url: core.control + path})
	}
	const id, timed, large = "00000000000000a1", "00000000000000b2", "00000000000000c3"
	s.record("job", client(http.MethodPost, "previews", id, jobBody))
	s.record("the same job again", client(http.MethodPost, "previews", id, jobBody))
	s.record("other content under its ID", client(http.MethodPost, "previews", id, timedBody))
	s.record("its ID in another queue", client(http.MethodPost, "batches", id, jobBody))
	s.record("state", client(http.MethodGet, "previews", id, ""))
	s.record("state by another queue", client(http.MethodGet, "batches", id, ""))
	s.record("waiting jobs", client(http.MethodGet, "previews", "", ""))
	s.record("timed job", client(http.MethodPost, "batches", timed, timedBody))
	s.record("large job", client(http.MethodPost, "batches", large, largeBody))
	s.record("jobs", maskNumbers(operator("/v1/jobs")))
	s.record("job that waits", maskNumbers(operator("/v1/jobs/"+id)))
	s.record("timed job canceled", client(http.MethodDelete, "batches", timed, ""))
	s.record("canceled again", client(http.MethodDelete, "batches", timed, ""))
	s.record("canceled by another queue", client(http.MethodDelete, "previews", large, ""))
	s.record("state after that", client(http.MethodGet, "batches", timed, ""))
	runnerEndpoints(t, &s, agentMachine)
	s.record("placement", keysOnly(t, awaitResponse(t, request{method: http.MethodGet, url: core.control + "/v1/scheduler"}, func(a response) bool {
		return strings.Contains(a.body, `"tasks":[{"task"`)
	})))
	s.record("job that runs", maskNumbers(operator("/v1/jobs/"+id)))
	finished := callWithRetry(t, request{method: http.MethodPut, url: agentMachine.control + "/v1/instances/i-toy", body: heartbeat(900000, "[]", `[[1,"`+id+`.0.0.0",1,"done",""]]`)})
	require.Equal(t, http.StatusOK, finished.status, finished.body)
	s.record("completed job", awaitResponse(t, request{method: http.MethodGet, url: gatewayMachine.front + "/previews/" + id, host: "jobs.example"}, func(a response) bool {
		return strings.Contains(a.body, "completed")
	}))
	s.record("operator cancels", callWithRetry(t, request{method: http.MethodDelete, url: core.control + "/v1/jobs/" + large}))
	s.record("leave", callWithRetry(t, request{method: http.MethodDelete, url: agentMachine.control + "/v1/instances/i-toy"}))
	requireGolden(t, "jobs.txt", s.text.String())
}

// heartbeat returns the body of a runner's heartbeat; running and finished are JSON lists.
func heartbeat(sequence int, running, finished string) string {
	return fmt.Sprintf(`{"Service":"toy","Address":"127.0.0.3:1","Zone":"z1","Version":"v1","Slots":8,"State":"ready","Capacity":{"Cpu":4000,"MemMb":8192,"Gpus":1},`+
		`"Labels":["a","r1-1"],"Sequence":%d,"Running":%s,"Finished":%s}`, sequence, running, finished)
}

// runnerEndpoints pins the responses of an agent to a runner, until the runner was told to start a
// run and has reported it as running.
func runnerEndpoints(t *testing.T, s *transcript, agentMachine machine) {
	t.Helper()
	url := agentMachine.control + "/v1/instances/i-toy"
	for _, c := range []struct{ name, method, body string }{
		{"heartbeat without JSON", http.MethodPut, "{"},
		{"heartbeat that is no object", http.MethodPut, "[]"},
		{"running entry that is no list", http.MethodPut, `{"Running":[1]}`},
		{"finished entry that is too short", http.MethodPut, `{"Finished":[[1]]}`},
		{"heartbeat by another method", http.MethodPost, "{}"},
		{"leave of nobody", http.MethodDelete, ""},
	} {
		s.record(c.name, callWithRetry(t, request{method: c.method, url: url, body: c.body}))
	}
	s.record("no such path of the companion", callWithRetry(t, request{method: http.MethodGet, url: agentMachine.control + "/v1/none"}))
	sequence := 0
	awaitOrder := func(running, order string) (got response) {
		require.Eventually(t, func() bool {
			sequence++
			got = call(t.Context(), request{method: http.MethodPut, url: url, body: heartbeat(sequence, running, "[]")})
			return strings.Contains(got.body, order)
		}, waitTimeout, pollInterval, "no heartbeat response with the order %s", order)
		return got
	}
	s.record("start", maskNumbers(awaitOrder("[]", `"Start"`)))
	s.record("stop", maskNumbers(awaitOrder(`[["00000000000000a1.0.0.0",1,"00000bb8",41],["00000000000000ff.0.0.0",1,"",0]]`, `"Stop"`)))
}

// gatewayWithoutControl pins the responses of a gateway while the control plane is down.
func gatewayWithoutControl(t *testing.T, gatewayMachine machine) {
	t.Helper()
	var s transcript
	shortDeadline := map[string]string{"X-Deadline-Ms": "300"}
	s.record("state without a control plane", call(t.Context(), request{method: http.MethodGet, url: gatewayMachine.front + "/previews/00000000000000a1", host: "jobs.example", headers: shortDeadline}))
	s.record("job without a control plane", call(t.Context(), request{method: http.MethodPost, url: gatewayMachine.front + "/previews/00000000000000d4", host: "jobs.example", body: jobBody, headers: shortDeadline}))
	requireGolden(t, "edge-after.txt", s.text.String())
}

// TestCompatibilityWithoutMajority pins the responses of the operators' API on a member that cannot
// reach a majority.
func TestCompatibilityWithoutMajority(t *testing.T) {
	t.Parallel()
	core, _ := startMachine(t, func(ctx context.Context, path string, settings *nodefile.File) error {
		settings.Seeds = []string{settings.ListenAddrs.Control, "127.0.0.5:1", "127.0.0.6:1"}
		return server.Run(ctx, path, settings)
	}, "127.0.0.4", freePort(t))
	var s transcript
	s.record("configuration", awaitResponse(t, request{method: http.MethodGet, url: core.control + "/v1/config"}, hasStatus(http.StatusServiceUnavailable)))
	s.record("member", keysOnly(t, callWithRetry(t, request{method: http.MethodGet, url: core.control + "/v1/status"})))
	requireGolden(t, "control-alone.txt", s.text.String())
}
