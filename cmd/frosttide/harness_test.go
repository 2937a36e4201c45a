package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"frosttide/internal/dispatcher/monotime"
)

// TestMain runs the tests, or the real program: the tests start this test binary again with
// FROSTTIDE_TEST_PROGRAM set and talk to it as clients, runners and the discovery service do.
func TestMain(m *testing.M) {
	if os.Getenv("FROSTTIDE_TEST_PROGRAM") != "" {
		shiftWallClock(os.Getenv("FROSTTIDE_TEST_CLOCK"))
		injectFaults()
		main()
		return
	}
	os.Exit(m.Run())
}

// shiftWallClock shifts the program's wall clock by the number of seconds in the file at path, if
// that file exists.
func shiftWallClock(path string) {
	realWall := monotime.Wall
	monotime.Wall = func() time.Duration {
		text, _ := os.ReadFile(path) // a missing file means no shift
		offset, _ := strconv.Atoi(string(text))
		return realWall() + time.Duration(offset)*time.Second
	}
}

// testTimeout bounds each wait for an event. No test relies on its expiry.
const testTimeout = 20 * time.Second

// testSettings has a request class for each effect. The connect timeout is longer than any connect
// on loopback takes.
const testSettings = `{"balancers":1,"me":0,"zone":0,"zones":["a","b"],"kinds":["m"],"discovery":"on_request",
"request-classes":[
 {"name":"render","effect":"safe","aim":2000000,"give-up":20000000,"worth":1},
 {"name":"release","effect":"keyed","group":"zone","window":40000000,"aim":2000000,"give-up":20000000,"worth":5},
 {"name":"once","effect":"unsafe","aim":2000000,"give-up":20000000,"worth":5}],
"policy-limits":{"connect-timeout":250000,"keepalive":5000000,"max-retry-after":2000000,"may-cancel":true,
 "retry-after":true,"second-copies":false,"send-cap":4,"probing":true},
"report":{"source":"none"},"family-info":{"tells-start":true},
"rules":{"ask-within":1000000,"drain-grace":500000,"cold-from":0.13,"warm-within":23000000,"fall-multiple":2.5,"fall":1000000}}`

// dispatcher is a running frosttide process.
type dispatcher struct {
	t           *testing.T
	addr        string
	consoleAddr string // listen address of the operators' console
	cmd         *exec.Cmd
	lines       chan string
	exited      chan error
	logLines    []string
	cfg         string // text of the configuration file, with %s for the address of discovery
	path        string // path of the configuration file

	// lastDial is when dialAndWrite last opened a connection; several may be opened at once.
	lastDial atomic.Pointer[time.Time]
}

// discovery is a fake discovery service. The test writes the lines of each watch response.
type discovery struct {
	*httptest.Server
	watches      chan *watch
	initialList  atomic.Pointer[string] // the full target list that its dispatcher was started with
	noHeartbeats atomic.Bool            // send no heartbeats, as when the host of the service is lost
	closed       chan struct{}
	once         sync.Once
}

// discoveries maps the URL of each running fake discovery service to its *discovery.
var discoveries sync.Map

// partialLine ends a text that is sent without its newline, as an incomplete line.
const partialLine = "..."

// watch is a request of the dispatcher to discovery, for changes or for the full list.
type watch struct {
	query     string
	lines     chan string // closed by the test to end the response
	callEnded <-chan struct{}
}

// newDiscovery starts a fake discovery service that is closed when the test ends.
func newDiscovery(t *testing.T) *discovery {
	d := &discovery{watches: make(chan *watch, 64), closed: make(chan struct{})}
	return d.serveAt(t, uniqueIP()+":0")
}

// serveAt listens on addr and serves until the test ends.
func (d *discovery) serveAt(t *testing.T, addr string) *discovery {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	d.Server = &httptest.Server{Listener: l, Config: &http.Server{Handler: d.handler()}}
	d.Server.Start()
	discoveries.Store(d.URL, d)
	t.Cleanup(d.Close)
	return d
}

// Close stops the service and ends all requests. httptest.Server.Close alone would block on
// requests that arrive after the others were ended or that no test reads.
func (d *discovery) Close() {
	d.once.Do(func() {
		close(d.closed)
		d.CloseClientConnections()
		d.Server.Close()
	})
}

// handler answers requests for the full list with initialList, if that is set, and passes all other
// requests to the test as watches.
func (d *discovery) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if given := d.initialList.Load(); given != nil && r.URL.RawQuery == "" && !d.noHeartbeats.Load() {
			fmt.Fprintln(w, *given)
			return
		}
		x := &watch{query: r.URL.RawQuery, lines: make(chan string, 16), callEnded: r.Context().Done()}
		w.WriteHeader(http.StatusOK)
		if r.URL.Query().Get("watch") == "1" && !d.noHeartbeats.Load() {
			fmt.Fprint(w, "\n") // no change: a starting process need not wait for more
		}
		w.(http.Flusher).Flush()
		select {
		case d.watches <- x:
		case <-d.closed:
			return
		}
		// Heartbeats are blank lines, which are significant only between JSON objects.
		heartbeat := time.NewTicker(time.Second)
		defer heartbeat.Stop()
		for lineComplete, written := true, false; ; {
			select {
			case <-heartbeat.C:
				// A full-list request that the test has answered but not ended gets heartbeats too:
				// without them the dispatcher would give up on it and request the list again, and the
				// test would mistake that for a different request.
				if (r.URL.Query().Get("watch") == "1" || written) && lineComplete && !d.noHeartbeats.Load() {
					fmt.Fprint(w, "\n")
					w.(http.Flusher).Flush()
				}
			case line, ok := <-x.lines:
				if !ok {
					return
				}
				lineComplete, written = !strings.HasSuffix(line, partialLine), true
				fmt.Fprint(w, strings.TrimSuffix(line+"\n", partialLine+"\n"))
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			case <-d.closed:
				return
			}
		}
	})
}

// targetEntry returns the entry of a runner in a target list.
func targetEntry(uid, addr, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","model":"m","pod_group":1,"state":%q,"capacity_hint":1,"boot_ms":0}`,
		uid, addr, state)
}

// targetList returns a full target list of revision rev, or an incremental change if all is false.
func targetList(rev int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

// awaitPortsFree waits until addresses whose listeners have just been closed can be bound again. A
// child process holds copies of all descriptors between fork and exec, and for a moment after the
// fork lock is released, because the kernel resumes the parent before it closes them. So
// awaitPortsFree binds the addresses while it holds the fork lock, so that no process is started.
func awaitPortsFree(t *testing.T, addrs ...string) {
	t.Helper()
	syscall.ForkLock.Lock()
	defer syscall.ForkLock.Unlock()
	for _, addr := range addrs {
		for deadline := time.Now().Add(testTimeout); ; runtime.Gosched() {
			l, err := net.Listen("tcp", addr)
			if err == nil {
				l.Close()
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s cannot be bound again: %v", addr, err)
			}
		}
	}
}

// uniqueIP returns a loopback address that nothing else in the tests uses. Other listeners and
// outgoing connections use 127.0.0.1, so a port on this address stays free between its choice and
// its use, and until it is bound again.
func uniqueIP() string {
	n := uniqueIPs.Add(1)
	return fmt.Sprintf("127.77.%d.%d", n/200, n%200+1)
}

// uniqueIPs counts the addresses that uniqueIP has returned.
var uniqueIPs atomic.Int32

// start starts a dispatcher whose configuration holds the known target entries.
func start(t *testing.T, discoveryURL string, sockets int, known ...string) *dispatcher {
	t.Helper()
	return startWith(t, discoveryURL, sockets, known)
}

// startWith starts a dispatcher like start, after it has applied the edits to it.
func startWith(t *testing.T, discoveryURL string, sockets int, known []string, edit ...func(*dispatcher)) *dispatcher {
	t.Helper()
	ip := uniqueIP()
	clients, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	console, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	d := &dispatcher{t: t, addr: clients.Addr().String(), consoleAddr: console.Addr().String()}
	clients.Close()
	console.Close()
	awaitPortsFree(t, d.addr, d.consoleAddr)
	d.cfg = fmt.Sprintf(`{"name":"n0","listen":%q,"console":%q,"discovery":"%%s","seed":"8c1f30d27a5be964","unheard":1,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,"settings":%s}`,
		d.addr, d.consoleAddr, sockets, targetList(41, true, known...), testSettings)
	if disc, ok := discoveries.Load(discoveryURL); ok {
		given := targetList(41, true, known...)
		disc.(*discovery).initialList.Store(&given)
	}
	d.cmd, d.path = program(t, fmt.Sprintf(d.cfg, "127.0.0.1:1"))
	d.cmd.Env = append(d.cmd.Env, "BALANCER_DISCOVERY="+strings.TrimPrefix(discoveryURL, "http://"))
	for _, e := range edit {
		e(d)
	}
	d.run()
	d.awaitLog("frosttide serves")
	return d
}

// run starts the program and collects the lines of its log. At the end of the test it kills the
// process and fails the test if the race detector reported a data race.
func (d *dispatcher) run() {
	d.t.Helper()
	d.lines, d.exited = make(chan string, 1<<16), make(chan error, 1)
	lines, exited := d.lines, d.exited
	stderr, err := d.cmd.StderrPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	if err := d.cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	cmd, raceReported := d.cmd, make(chan bool, 1)
	go func() {
		raced := false
		for in := bufio.NewScanner(stderr); in.Scan(); {
			raced = raced || strings.Contains(in.Text(), "WARNING: DATA RACE")
			select {
			case lines <- in.Text():
			default: // drop the line: the buffer is full, and the process must not block on stderr
			}
		}
		exited <- cmd.Wait()
		raceReported <- raced
	}()
	d.t.Cleanup(func() {
		cmd.Process.Kill()
		if await(d.t, raceReported, "end of the process") {
			d.t.Error("the race detector reported a race in the program")
		}
	})
}

// raceOptions is the environment variable of started programs for the race detector, in builds that
// have it. It disables the detector's sleep of one second at exit, which would count as time of the
// program, and halts at the first report.
const raceOptions = "GORACE=atexit_sleep_ms=0 halt_on_error=1"

// withInheritedListener has the test hold the listening socket for clients and pass it to the
// program, as the platform does for upgrades.
func withInheritedListener(d *dispatcher) {
	l, err := net.Listen("tcp", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	defer l.Close()
	socket, err := l.(*net.TCPListener).File()
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { socket.Close() })
	d.cmd.ExtraFiles = []*os.File{socket}
	d.cmd.Env = append(d.cmd.Env, "BALANCER_FD=3", "TMPDIR="+d.t.TempDir())
}

// startSuccessor starts a newer process of the dispatcher next to it, with the same configuration
// and clients' listener and a console address of its own.
func (d *dispatcher) startSuccessor() *dispatcher {
	d.t.Helper()
	console, err := net.Listen("tcp", strings.Split(d.addr, ":")[0]+":0")
	if err != nil {
		d.t.Fatal(err)
	}
	console.Close()
	awaitPortsFree(d.t, console.Addr().String())
	s := &dispatcher{t: d.t, addr: d.addr, consoleAddr: console.Addr().String(), cfg: d.cfg, path: d.path, cmd: exec.Command(os.Args[0], d.cmd.Args[1:]...)}
	s.cmd.ExtraFiles = d.cmd.ExtraFiles
	s.cmd.Env = append(slices.Clone(d.cmd.Env), "BALANCER_CONSOLE="+s.consoleAddr)
	s.run()
	s.awaitLog("frosttide serves")
	return s
}

// callConsole sends a request to the operators' console and returns the status and the body of the
// response.
func (d *dispatcher) callConsole(method, path, body string) (int, string) {
	d.t.Helper()
	req, err := http.NewRequest(method, "http://"+d.consoleAddr+path, strings.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	// Operators use the same timeout.
	resp := do(&http.Client{Transport: &http.Transport{}, Timeout: time.Second}, req)
	if resp.Err != nil {
		d.t.Fatal(resp.Err)
	}
	return resp.Status, resp.Body
}

// reload replaces the configuration file atomically and sends SIGHUP to the program.
func (d *dispatcher) reload(cfg string) {
	d.t.Helper()
	if err := os.WriteFile(d.path+".new", []byte(cfg), 0o600); err != nil {
		d.t.Fatal(err)
	}
	if err := os.Rename(d.path+".new", d.path); err != nil {
		d.t.Fatal(err)
	}
	if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		d.t.Fatal(err)
	}
}

// program returns the command that runs frosttide with the configuration cfg, and the path of the
// configuration file.
func program(t *testing.T, cfg string) (*exec.Cmd, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(cfg), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = []string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions, "BALANCER_CONFIG=" + path}
	return cmd, path
}

// awaitLog waits for a log line that contains text.
func (d *dispatcher) awaitLog(text string) {
	d.t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case line := <-d.lines:
			d.logLines = append(d.logLines, line)
			if strings.Contains(line, text) {
				return
			}
		case <-timeout:
			d.t.Fatalf("no log line contains %q; log:\n%s", text, strings.Join(d.logLines, "\n"))
		}
	}
}

// log returns what the process has logged so far.
func (d *dispatcher) log() string {
	for {
		select {
		case line := <-d.lines:
			d.logLines = append(d.logLines, line)
		default:
			return strings.Join(d.logLines, "\n")
		}
	}
}

// response is the response that a client received, or the error that it got instead.
type response struct {
	Status int
	Body   string
	Header http.Header
	Err    error
	Close  bool // the response announces that the dispatcher closes the connection
}

// jobRequest returns a client's request to submit a job, without sending it.
func (d *dispatcher) jobRequest(class, id string, edit ...func(*http.Request)) *http.Request {
	req, err := http.NewRequest("POST", "http://"+d.addr+"/"+class+"/clip%2F7?q=a+b", strings.NewReader("frames of "+id))
	if err != nil {
		d.t.Fatal(err)
	}
	req.Header.Set("X-Trace-Id", id)
	req.Header.Set("X-Qos", class)
	req.Header.Set("X-Expires-In-Ms", "15000")
	req.Header.Set("Cookie", "k=7f3a9c21e0b4d655")
	if class == "release" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	for _, e := range edit {
		e(req)
	}
	return req
}

// dialAndWrite connects to the clients' listener and writes text. The connection is closed when the
// test ends.
func (d *dispatcher) dialAndWrite(text string) net.Conn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.addr)
	if err != nil {
		d.t.Fatal(err)
	}
	now := time.Now()
	d.lastDial.Store(&now)
	d.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		d.t.Fatal(err)
	}
	return c
}

// submit sends a request in the background on a connection of its own.
func submit(req *http.Request) <-chan response {
	got := make(chan response, 1)
	go func() { got <- do(&http.Client{Transport: &http.Transport{}}, req) }()
	return got
}

// do sends a request and reads the whole response.
func do(c *http.Client, req *http.Request) response {
	resp, err := c.Do(req)
	if err != nil {
		return response{Err: err}
	}
	defer c.CloseIdleConnections()
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{Status: resp.StatusCode, Body: string(text), Header: resp.Header, Err: err, Close: resp.Close}
}

// sendReport sends a runner's report on a job and returns the status of the response. It sends the
// report up to 10 times until it gets a response, as runners do.
func (d *dispatcher) sendReport(body string) int {
	d.t.Helper()
	var err error
	for range 10 {
		var resp *http.Response
		resp, err = http.Post("http://"+d.addr+"/v1/job-events", "application/json", strings.NewReader(body))
		if err == nil {
			resp.Body.Close()
			return resp.StatusCode
		}
	}
	d.t.Fatal(err)
	return 0
}

// jobEvent returns the body of a runner's report that the job is in state.
func jobEvent(id, from, state string) string {
	text, _ := json.Marshal(map[string]any{"id": id, "from": from, "state": state, "result": "clip of " + id + " by " + from, "new": 1})
	return string(text)
}

// await receives the next value from a channel, or fails the test after testTimeout.
func await[T any](t *testing.T, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s before the timeout", what)
		panic("unreachable")
	}
}

// runner is a fake runner on a raw TCP listener, so that tests can do things on a connection that
// an HTTP server would not.
type runner struct {
	uid, addr string
	listener  net.Listener
	requests  chan *runnerRequest // complete requests: jobs, recalls and probes
	conns     sync.Map
}

// runnerRequest is a request that a runner received. The test responds to it.
type runnerRequest struct {
	*http.Request
	body       string
	conn       net.Conn
	connClosed chan struct{} // closed when conn has ended
}

// newRunner starts a fake runner that is closed when the test ends.
func newRunner(t *testing.T, uid string) *runner {
	t.Helper()
	l, err := net.Listen("tcp", uniqueIP()+":0")
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{uid: uid, addr: l.Addr().String(), listener: l, requests: make(chan *runnerRequest, 256)}
	t.Cleanup(func() {
		l.Close()
		r.conns.Range(func(c, _ any) bool { c.(net.Conn).Close(); return true })
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.conns.Store(c, true)
			go r.read(c)
		}
	}()
	return r
}

// read passes the requests on a connection to r.requests until the connection ends.
func (r *runner) read(c net.Conn) {
	connClosed := make(chan struct{})
	defer close(connClosed)
	for in := bufio.NewReader(c); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.requests <- &runnerRequest{Request: req, body: string(body), conn: c, connClosed: connClosed}
	}
}

// id returns the trace ID of the job, by which tests tell jobs apart.
func (h *runnerRequest) id() string { return h.Header.Get("X-Trace-Id") }

// reply responds with a status, headers and an empty body. Each header must end with \r\n.
func (h *runnerRequest) reply(status int, headers string) {
	fmt.Fprintf(h.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), headers)
}

// entry returns the runner's entry in a target list.
func (r *runner) entry() string { return targetEntry(r.uid, r.addr, "SERVING") }
