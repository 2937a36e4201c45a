package compatibility_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"frosttide/internal/dispatcher/fleet/cluster"
	"frosttide/internal/dispatcher/fleet/clusterport"
	"frosttide/internal/dispatcher/fleet/ledger"
	"frosttide/internal/dispatcher/fleet/members"
	"frosttide/internal/dispatcher/fleet/quorum"
	"frosttide/internal/dispatcher/fleet/recovery/mark"
	"frosttide/internal/dispatcher/fleet/workflow/statetable"
)

// eventTimeout bounds each wait for an event of a member.
const eventTimeout = 20 * time.Second

// agreedLogFolder is the folder of the agreed log, which is the replicated log of a cluster of
// dispatchers. Its member m is the only voter. It holds some entries, a snapshot and further
// entries after the snapshot.
const agreedLogFolder = "agreedlog/folder"

// logEntries returns the log entries in entries.jsonl, one JSON object per line.
func logEntries(t *testing.T) []ledger.Entry {
	t.Helper()
	var out []ledger.Entry
	for _, line := range lines(readFile(t, "agreedlog/entries.jsonl")) {
		var e ledger.Entry
		if err := json.Unmarshal(line, &e); err != nil {
			t.Fatal(err)
		}
		out = append(out, e)
	}
	return out
}

// TestCompatibilityEntries checks that log entries of an earlier build can be read, have the same
// effects, lead to the same state and are encoded to the same bytes.
func TestCompatibilityEntries(t *testing.T) {
	var state ledger.State
	var effects []ledger.Done
	for i, e := range logEntries(t) {
		text, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		if want := lines(readFile(t, "agreedlog/entries.jsonl"))[i]; string(text) != string(want) {
			t.Errorf("encoding of entry %d: got\n%s\nwant\n%s", i+1, text, want)
		}
		effects = append(effects, state.Apply(uint64(i+1), e))
	}
	compareGoldenJSON(t, "agreedlog/effects.golden.json", effects)
	snapshot, err := state.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "agreedlog/snapshot.golden.json", snapshot)
}

// TestCompatibilitySnapshot checks that a snapshot of an earlier build can be read and is encoded
// to the same bytes, and that applying the entries again to its state has the same effects.
func TestCompatibilitySnapshot(t *testing.T) {
	text := readFile(t, "agreedlog/snapshot.golden.json")
	state, err := ledger.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := state.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(text) {
		t.Errorf("encoding of the snapshot: got\n%s\nwant\n%s", encoded, text)
	}
	var repeated []ledger.Done
	for _, e := range logEntries(t) {
		repeated = append(repeated, state.Apply(state.Index+1, e))
	}
	compareGoldenJSON(t, "agreedlog/repeated.golden.json", repeated)
}

// TestCompatibilityWorkflows checks that the workflows of a snapshot can be read and are encoded to
// the same bytes.
func TestCompatibilityWorkflows(t *testing.T) {
	var snapshot struct {
		Flows json.RawMessage `json:"flows"`
	}
	if err := json.Unmarshal(readFile(t, "agreedlog/snapshot.golden.json"), &snapshot); err != nil {
		t.Fatal(err)
	}
	flows, err := statetable.Parse(snapshot.Flows)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(flows)
	if err != nil {
		t.Fatal(err)
	}
	if string(encoded) != string(snapshot.Flows) {
		t.Errorf("encoding of the workflows: got\n%s\nwant\n%s", encoded, snapshot.Flows)
	}
}

// eventSink is a quorum.Sink that forwards changes of the leader and applied entries to channels.
type eventSink struct {
	leaders chan string
	applied chan ledger.Done
}

func (s eventSink) Applied(d ledger.Done)                 { s.applied <- d }
func (s eventSink) Restored(_, _ ledger.State)            {}
func (s eventSink) LeaderChanged(leader string, _ uint64) { s.leaders <- leader }
func (s eventSink) LogOpened(_ string, _ bool)            {}
func newEventSink() eventSink                             { return eventSink{make(chan string, 64), make(chan ledger.Done, 256)} }
func (s eventSink) waitForEntry(t *testing.T, id string) {
	t.Helper()
	timeout := time.After(eventTimeout)
	for {
		select {
		case d := <-s.applied:
			if d.ID == id {
				return
			}
		case <-timeout:
			t.Fatalf("entry %q was not applied", id)
		}
	}
}

// openLog opens the agreed log of the member m and waits until m is its leader.
func openLog(t *testing.T, dir string) (*quorum.Quorum, eventSink) {
	t.Helper()
	port, err := clusterport.Open("127.78.4.1:0", "", quietLog())
	if err != nil {
		t.Fatal(err)
	}
	s := newEventSink()
	listMembers := func() []members.Info {
		return []members.Info{{Name: "m", Addr: port.Advertised(), Meta: members.Meta{Disk: "d"}}}
	}
	disk, err := quorum.OpenDisk(dir, 0, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	q, err := quorum.Open(quorum.Config{Name: "m", Disk: disk, Voters: []string{"m"}}, port, listMembers, s, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); q.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
		q.Close()
		port.Close()
	})
	select {
	case <-s.leaders:
	case <-time.After(eventTimeout):
		t.Fatal("the log has no leader in time")
	}
	return q, s
}

// writeAgreedLog replaces agreedLogFolder by a new log with all entries, for the flag -update.
func writeAgreedLog(t *testing.T) {
	t.Helper()
	folder := filepath.Join("testdata", agreedLogFolder)
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	t.Run("write", func(t *testing.T) {
		q, s := openLog(t, folder)
		s.waitForEntry(t, "begin")
		entries := logEntries(t)
		for i, e := range entries {
			if i == len(entries)/2 {
				if err := q.Snapshot(); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
			if _, err := q.Propose(ctx, e); err != nil && e.Validate() == nil {
				t.Fatal(err)
			}
			cancel()
		}
	})
}

// TestCompatibilityAgreedLog opens the log folder of an earlier build and checks the state after
// its snapshot and all entries, the name of the log, the member's ID and the voters.
func TestCompatibilityAgreedLog(t *testing.T) {
	if *update {
		writeAgreedLog(t)
	}
	q, s := openLog(t, copyFolder(t, agreedLogFolder))
	entries := logEntries(t)
	s.waitForEntry(t, entries[len(entries)-1].ID)
	var flows json.RawMessage
	var err error
	q.Flows(func(b *statetable.Table) { flows, err = json.Marshal(b) })
	if err != nil {
		t.Fatal(err)
	}
	status := q.Status()
	compareGoldenJSON(t, "agreedlog/folder.golden.json", map[string]any{"name": q.LogName(), "member": status.ID, "voters": status.Voters,
		"state": q.State(), "flows": flows})
}

// TestCompatibilityRecover checks what the recovery of a log that has lost its majority finds in
// the folder of an earlier build. It does not confirm the recovery.
func TestCompatibilityRecover(t *testing.T) {
	found, err := quorum.Recover(copyFolder(t, agreedLogFolder), "m", "127.0.0.1:7946", false)
	if err != nil {
		t.Fatal(err)
	}
	compareGoldenJSON(t, "agreedlog/recover.golden.json", map[string]any{"last": found.Last, "term": found.Term, "voters": found.Voters, "leftOut": found.Excluded})
}

// TestCompatibilityWatermark checks that the watermark file of an earlier build, which is kept
// outside of the log folder, can be read and that the same content is written to the same bytes.
func TestCompatibilityWatermark(t *testing.T) {
	dir := t.TempDir()
	want := mark.Watermark{Log: "PZQ3", Index: 17, Out: []string{"s-1", "s-2"}}
	if err := mark.Write(dir, want); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, "agreed.json"))
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "mark/agreed.json", text)
	got, err := mark.Read(filepath.Join("testdata", "mark"))
	if err != nil {
		t.Fatal(err)
	}
	if got.Log != want.Log || got.Index != want.Index || len(got.Out) != 2 || got.Out[0] != "s-1" || got.Out[1] != "s-2" {
		t.Errorf("watermark: got %+v, want %+v", *got, want)
	}
}

// TestCompatibilityBeginAnew checks which files a member that has lost its log writes for its next
// start when it begins a new log from the watermark of an earlier build.
func TestCompatibilityBeginAnew(t *testing.T) {
	watermarkDir, dir := copyFolder(t, "mark"), t.TempDir()
	if _, err := cluster.BeginAnew(cluster.Config{Name: "m", Listen: "127.0.0.1:7946", Dir: dir, WatermarkDir: watermarkDir}, true); err != nil {
		t.Fatal(err)
	}
	files := map[string]json.RawMessage{}
	for _, name := range []string{"out.json", "restate.json"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		files[name] = text
	}
	compareGoldenJSON(t, "beginanew.golden.json", files)
}
