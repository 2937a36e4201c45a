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

// fakeLog is an executor.Log of a single member. It applies each command to its table at once.
type fakeLog struct {
	mu    sync.Mutex
	index uint64
	table statetable.Table
}

func (l *fakeLog) Propose(_ context.Context, e ledger.Entry) (ledger.Done, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	_, refusal := l.table.Apply(l.index, l.Now().Milliseconds(), e.Flow)
	done := ledger.Done{Entry: e, Index: l.index}
	if refusal != nil {
		done.Refused, done.Kind = refusal.Text, refusal.Kind
	}
	return done, nil
}

func (l *fakeLog) Flows(show func(*statetable.Table)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	show(&l.table)
}

func (l *fakeLog) Now() time.Duration { return time.Duration(time.Now().UnixNano()) }
func (l *fakeLog) Rank(string) int    { return 0 }
func (l *fakeLog) Seen() uint64       { return 1 << 62 }

// TestCalls checks the HTTP status of each request, in order, and that a refused request does not
// change the memory that the table counts.
func TestCalls(t *testing.T) {
	l := &fakeLog{}
	e := executor.New(executor.Config{Name: "m", MaxConcurrent: 1, Class: func(name string) (executor.Class, bool) {
		return executor.Class{Unsafe: name == "once"}, name == "once" || name == "release"
	}}, l, nil, nil)
	h := Handler(func() *executor.Executor { return e }, l.Now)
	send := func(method, path, body string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	step := func(n int, undo string) string {
		return `{"id":"w","step":` + string(rune('0'+n)) + `,"undo":` + undo + `}`
	}
	// Marshal can't fail for the types of this value.
	big, _ := json.Marshal(flow.Undo{Class: "release", Path: "/x", Body: make([]byte, flow.MaxBodyBytes+1)})
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
		got, text := send("POST", "/api/workflow/"+tc.path, tc.body)
		if got != tc.want {
			t.Errorf("POST %s %.80s: got status %d and body %q, want status %d", tc.path, tc.body, got, text, tc.want)
		}
		if got >= 400 && l.table.Bytes != before {
			t.Errorf("POST %s %.80s was refused but changed Table.Bytes", tc.path, tc.body)
		}
	}
	if code, text := send("GET", "/api/workflow/w", ""); code != 200 || !strings.Contains(text, "committed") {
		t.Errorf("GET of a committed workflow: got status %d and body %q, want 200 and the phase", code, text)
	}
	if code, text := send("GET", "/api/workflow", ""); code != 200 || !strings.Contains(text, `"ended":1`) {
		t.Errorf("GET of the list: got status %d and body %q, want 200 and one ended workflow", code, text)
	}
	disabled := Handler(func() *executor.Executor { return nil }, l.Now)
	w := httptest.NewRecorder()
	disabled.ServeHTTP(w, httptest.NewRequest("GET", "/api/workflow", nil))
	if w.Code != 503 || !strings.Contains(w.Body.String(), "[cluster]") {
		t.Errorf("list without an executor: got status %d and body %q, want 503 and the missing section", w.Code, w.Body)
	}
	header := http.Header{HeaderFlow: {"w"}}
	if code, _, _ := (Steps{}).Begin(context.Background(), header, time.Now()); code != 503 {
		t.Errorf("step without an executor: got status %d, want 503", code)
	}
	if code, _, onVerdict := (Steps{}).Begin(context.Background(), http.Header{}, time.Now()); code != 0 || onVerdict != nil {
		t.Errorf("job that is not a step: got status %d, want 0 and no function for the verdict", code)
	}
}

// TestStep checks that invalid headers of a step are refused, that valid ones register the step
// before its job is sent, and that a failed verdict of the job starts to undo the workflow.
func TestStep(t *testing.T) {
	l := &fakeLog{}
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
		code, text, onVerdict := Steps{Executor: func() *executor.Executor { return e }}.Begin(ctx, h, time.Now().Add(time.Second))
		if code != tc.want || (onVerdict != nil) != (code == 0) {
			t.Errorf("step %q, undo %q: got code %d and text %q", tc.step, tc.undo, code, text)
		}
		if onVerdict != nil {
			onVerdict(core.Failed)
		}
	}
	for deadline := time.Now().Add(20 * time.Second); e.Find("w").Phase != flow.Undoing; {
		if time.Now().After(deadline) {
			t.Fatalf("workflow is not Undoing 20 s after its step failed: %+v", e.Find("w"))
		}
	}
}

// FuzzParse checks that parseStep refuses any headers or returns a step number of at least 1.
func FuzzParse(f *testing.F) {
	f.Add("1", base64.StdEncoding.EncodeToString([]byte(`{"class":"c","path":"/p","body":"YQ=="}`)))
	f.Add("-1", "x")
	f.Fuzz(func(t *testing.T, step, undo string) {
		n, _, err := parseStep(http.Header{HeaderStep: {step}, HeaderUndo: {undo}})
		if err == nil && n < 1 {
			t.Errorf("parseStep accepted step number %d, want an error for numbers below 1", n)
		}
	})
}
