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

// wait bounds each wait for an event of a member.
const wait = 20 * time.Second

// agreedLogFolder holds the agreed log of a member named m, the only voter: some entries, a snapshot, and further
// entries behind it.
const agreedLogFolder = "agreedlog/folder"

// agreedEntries returns the entries under testdata, a line of JSON each, as a log holds them.
func agreedEntries(t *testing.T) []ledger.Entry {
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

// TestCompatibilityEntries has entries of the agreed log read as an earlier build wrote them, have the same effect,
// lead to the same state, and be written in the same bytes.
func TestCompatibilityEntries(t *testing.T) {
	var state ledger.State
	var effects []ledger.Done
	for i, e := range agreedEntries(t) {
		text, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		if want := lines(readFile(t, "agreedlog/entries.jsonl"))[i]; string(text) != string(want) {
			t.Errorf("entry %d is written as\n%s\nand was\n%s", i+1, text, want)
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

// TestCompatibilitySnapshot has a snapshot of the state read as an earlier build wrote it, go on by the same rules,
// and be written in the same bytes.
func TestCompatibilitySnapshot(t *testing.T) {
	text := readFile(t, "agreedlog/snapshot.golden.json")
	state, err := ledger.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	again, err := state.Bytes()
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(text) {
		t.Errorf("the snapshot is written as\n%s\nand was\n%s", again, text)
	}
	var repeated []ledger.Done
	for _, e := range agreedEntries(t) {
		repeated = append(repeated, state.Apply(state.Index+1, e))
	}
	compareGoldenJSON(t, "agreedlog/repeated.golden.json", repeated)
}

// TestCompatibilityBook has the workflows of a snapshot read, and written in the same bytes.
func TestCompatibilityBook(t *testing.T) {
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
	again, err := json.Marshal(flows)
	if err != nil {
		t.Fatal(err)
	}
	if string(again) != string(snapshot.Flows) {
		t.Errorf("the workflows are written as\n%s\nand were\n%s", again, snapshot.Flows)
	}
}

// sink passes on which entries a member has applied.
type sink struct {
	led     chan string
	applied chan ledger.Done
}

func (s sink) Applied(d ledger.Done)                 { s.applied <- d }
func (s sink) Restored(_, _ ledger.State)            {}
func (s sink) LeaderChanged(leader string, _ uint64) { s.led <- leader }
func (s sink) LogOpened(_ string, _ bool)            {}
func newSink() sink                                  { return sink{make(chan string, 64), make(chan ledger.Done, 256)} }
func (s sink) await(t *testing.T, id string) {
	t.Helper()
	late := time.After(wait)
	for {
		select {
		case d := <-s.applied:
			if d.ID == id {
				return
			}
		case <-late:
			t.Fatalf("entry %q was not applied", id)
		}
	}
}

// openLog opens the agreed log of the member m, which leads once the call returns.
func openLog(t *testing.T, dir string) (*quorum.Quorum, sink) {
	t.Helper()
	port, err := clusterport.Open("127.78.4.1:0", "", quietLog())
	if err != nil {
		t.Fatal(err)
	}
	s := newSink()
	alone := func() []members.Info {
		return []members.Info{{Name: "m", Addr: port.Advertised(), Meta: members.Meta{Disk: "d"}}}
	}
	disk, err := quorum.OpenDisk(dir, 0, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	q, err := quorum.Open(quorum.Config{Name: "m", Disk: disk, Voters: []string{"m"}}, port, alone, s, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); q.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-ended
		q.Close()
		port.Close()
	})
	select {
	case <-s.led:
	case <-time.After(wait):
		t.Fatal("the log has no leader")
	}
	return q, s
}

// writeAgreedLog makes the folder anew.
func writeAgreedLog(t *testing.T) {
	t.Helper()
	folder := filepath.Join("testdata", agreedLogFolder)
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	t.Run("write", func(t *testing.T) {
		q, s := openLog(t, folder)
		s.await(t, "begin")
		entries := agreedEntries(t)
		for i, e := range entries {
			if i == len(entries)/2 {
				if err := q.Snapshot(); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			if _, err := q.Propose(ctx, e); err != nil && e.Validate() == nil {
				t.Fatal(err)
			}
			cancel()
		}
	})
}

// TestCompatibilityAgreedLog has the folder that an earlier build kept of the agreed log opened: the snapshot, the
// entries behind it, the log's name and the member's own come out as they went in.
func TestCompatibilityAgreedLog(t *testing.T) {
	if *update {
		writeAgreedLog(t)
	}
	q, s := openLog(t, copyFolder(t, agreedLogFolder))
	entries := agreedEntries(t)
	s.await(t, entries[len(entries)-1].ID)
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

// TestCompatibilityRecover has the folder looked at by the operators' command for a log whose majority is lost.
func TestCompatibilityRecover(t *testing.T) {
	found, err := quorum.Recover(copyFolder(t, agreedLogFolder), "m", "127.0.0.1:7946", false)
	if err != nil {
		t.Fatal(err)
	}
	compareGoldenJSON(t, "agreedlog/recover.golden.json", map[string]any{"last": found.Last, "term": found.Term, "voters": found.Voters, "leftOut": found.Excluded})
}

// TestCompatibilityMark has the file that is kept apart from the log read, and written in the same bytes.
func TestCompatibilityMark(t *testing.T) {
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
		t.Errorf("%+v was read, want %+v", *got, want)
	}
}

// TestCompatibilityBeginAnew has a member that lost its log begin a new one by the kept file, with the same files
// for its next start.
func TestCompatibilityBeginAnew(t *testing.T) {
	keep, dir := copyFolder(t, "mark"), t.TempDir()
	if _, err := cluster.BeginAnew(cluster.Config{Name: "m", Listen: "127.0.0.1:7946", Dir: dir, WatermarkDir: keep}, true); err != nil {
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
