package front

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"frosttide/internal/dispatcher/core"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/workflow/executor"
	"frosttide/internal/dispatcher/fleet/workflow/flow"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// log is the log of a single member, which agrees to each command at once.
type log struct {
	mu    sync.Mutex
	index uint64
	table statetable.Table
}

func (l *log) Propose(_ context.Context, e ledger.Entry) (ledger.Done, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	_, no := l.table.Apply(l.index, l.Now().Milliseconds(), e.Flow)
	d := ledger.Done{Entry: e, Index: l.index}
	if no != nil {
		d.Refused, d.Kind = no.Text, no.Kind
	}
	return d, nil
}

func (l *log) Flows(show func(*statetable.Table)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	show(&l.table)
}

func (l *log) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }
func (l *log) Rank(string) int    { return 0 }
func (l *log) Seen() uint64       { return 1 << 62 }

// TestCalls checks the status of each call, and that a refused call changes nothing.
func TestCalls(t *testing.T) {
	l := &log{}
	e := executor.New(executor.Config{Name: "m", MaxConcurrent: 1, Class: func(name string) (executor.Class, bool) {
		return executor.Class{Unsafe: name == "once"}, name == "once" || name == "release"
	}}, l, nil, nil)
	h := Handler(func() *executor.Executor { return e }, l.Now)
	call := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	step := func(n int, undo string) string {
		return `{"id":"w","step":` + string(rune('0'+n)) + `,"undo":` + undo + `}`
	}
	big, _ := json.Marshal(flow.Undo{Class: "release", Path: "/x", Body: make([]byte, flow.MaxBodyBytes+1)}) // plain values
	for _, tc := range []struct {
		path, body string
		want       int
	}{
		{"begin", `{`, 400}, {"begin", `{"deadline_ms":1000}`, 400}, {"begin", `{"id":"w","lease_ms":1000}`, 400}, {"begin", `{"id":"w","deadline_ms":60000}`, 400},
		{"commit", `{"id":"w"}`, 404}, {"begin", `{"id":"w","deadline_ms":60000,"lease_ms":1000,"undo_tries":99}`, 400},
		{"begin", `{"id":"w","deadline_ms":60000,"lease_ms":1000}`, 200}, {"begin", `{"id":"w","deadline_ms":60000,"lease_ms":1000}`, 409},
		{"step", `{"id":"w","step":1}`, 400}, {"step", step(2, `{"class":"release","path":"/x"}`), 409}, {"step", step(1, `{"class":"none","path":"/x"}`), 400},
		{"step", step(1, `{"class":"once","path":"/x"}`), 400}, {"step", step(1, `{"class":"release","path":"x"}`), 400}, {"step", step(1, string(big)), 413},
		{"step", step(1, `{"class":"release","path":"/x","key":"k"}`), 200}, {"step", step(1, `{"class":"release","path":"/other"}`), 409},
		{"commit", `{"id":"w","steps":2}`, 409}, {"skip", `{"id":"w","step":1}`, 409}, {"again", `{"id":"w"}`, 409}, {"give-up", `{"id":"w"}`, 409},
		{"touch", `{"id":"w"}`, 200}, {"commit", `{"id":"w","steps":1}`, 200}, {"commit", `{"id":"w","steps":1}`, 200}, {"undo", `{"id":"w"}`, 409}, {"else", `{"id":"w"}`, 405},
	} {
		before := l.table.Bytes
		got, text := call("POST", "/api/workflow/"+tc.path, tc.body)
		if got != tc.want {
			t.Errorf("%s %.80s: %d %s, want %d", tc.path, tc.body, got, text, tc.want)
		}
		if got >= 400 && l.table.Bytes != before {
			t.Errorf("%s %.80s was refused and changed the table", tc.path, tc.body)
		}
	}
	if code, text := call("GET", "/api/workflow/w", ""); code != 200 || !strings.Contains(text, "committed") {
		t.Errorf("show: %d %s", code, text)
	}
	if code, text := call("GET", "/api/workflow", ""); code != 200 || !strings.Contains(text, `"ended":1`) {
		t.Errorf("list: %d %s", code, text)
	}
	none := Handler(func() *executor.Executor { return nil }, l.Now)
	w := httptest.NewRecorder()
	none.ServeHTTP(w, httptest.NewRequest("GET", "/api/workflow", nil))
	if w.Code != 503 || !strings.Contains(w.Body.String(), "[cluster]") {
		t.Errorf("without workflows: %d %s", w.Code, w.Body)
	}
	head := http.Header{HeaderFlow: {"w"}}
	if code, _, _ := (Steps{}).Begin(context.Background(), head, time.Now()); code != 503 {
		t.Errorf("a step without workflows: %d", code)
	}
	if code, _, settled := (Steps{}).Begin(context.Background(), http.Header{}, time.Now()); code != 0 || settled != nil {
		t.Errorf("a job that is no step: %d", code)
	}
}

// TestStep checks that a job's headers register its step before it is sent, and that the job's
// verdict ends the step.
func TestStep(t *testing.T) {
	l := &log{}
	e := executor.New(executor.Config{Name: "m", MaxConcurrent: 1, Class: func(string) (executor.Class, bool) { return executor.Class{}, true }}, l, nil, nil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go e.Run(ctx)
	l.table.Apply(1, l.Now().Milliseconds(), &statetable.Command{Kind: statetable.Begin, ID: "w", Deadline: l.Now().Milliseconds() + 60_000, LeaseDuration: 60_000})
	undo := base64.StdEncoding.EncodeToString([]byte(`{"class":"release","path":"/x"}`))
	for _, tc := range []struct {
		step, undo string
		want       int
	}{{"x", undo, 400}, {"0", undo, 400}, {"1", "%%", 400}, {"1", base64.StdEncoding.EncodeToString([]byte("{")), 400}, {"1", "", 400}, {"2", undo, 409}, {"1", undo, 0}} {
		h := http.Header{}
		h.Set(HeaderFlow, "w")
		h.Set(HeaderStep, tc.step)
		h.Set(HeaderUndo, tc.undo)
		code, text, settled := Steps{Executor: func() *executor.Executor { return e }}.Begin(ctx, h, time.Now().Add(time.Second))
		if code != tc.want || (settled != nil) != (code == 0) {
			t.Errorf("step %q, undo %q: %d %s", tc.step, tc.undo, code, text)
		}
		if settled != nil {
			settled(core.Failed)
		}
	}
	for by := time.Now().Add(20 * time.Second); e.Find("w").Phase != flow.Undoing; {
		if time.Now().After(by) {
			t.Fatalf("a step that failed for good: %+v", e.Find("w"))
		}
	}
}

// FuzzParse checks that any headers are refused or parsed to a valid step number.
func FuzzParse(f *testing.F) {
	f.Add("1", base64.StdEncoding.EncodeToString([]byte(`{"class":"c","path":"/p","body":"YQ=="}`)))
	f.Add("-1", "x")
	f.Fuzz(func(t *testing.T, step, undo string) {
		n, _, err := parseStep(http.Header{HeaderStep: {step}, HeaderUndo: {undo}})
		if err == nil && n < 1 {
			t.Errorf("step %d", n)
		}
	})
}
