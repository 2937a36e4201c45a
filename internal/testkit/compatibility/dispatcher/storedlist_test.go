package compatibility_test

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"frosttide/decision"
	"frosttide/decision/forecast"
	"frosttide/internal/dispatcher/rosterstore"
)

// storedListFolder is a folder with the stored runner lists of two dispatchers. That of n0 has two
// valid generations, a newer one that is truncated, and the newest with a later format version; n1
// has one generation.
const storedListFolder = "storedlist"

// storedSnapshot returns a snapshot of a runner list with every field set.
func storedSnapshot(t *testing.T, name string, rev uint64) *rosterstore.Snapshot {
	t.Helper()
	const at = time.Duration(1_796_000_000_000_000_000)
	health, err := json.Marshal(map[string]decision.Health{"s-1": {Failures: 2, Failed: true, RestUntil: at + 1, Pace: 1.25, PaceAt: at + 2, Most: 3,
		Load: forecast.Learned{Slots: 4, Pace: 0.5, Jobs: 6}}})
	if err != nil {
		t.Fatal(err)
	}
	return &rosterstore.Snapshot{
		Name: name, Saved: at + 3, Discovery: "127.0.0.1:8500", Rev: rev, Answered: at + 4, PlannedShutdown: true,
		Nodes: []rosterstore.Node{
			{UID: "s-1", Entry: json.RawMessage(`{"uid":"s-1","endpoint":"127.0.0.1:9101","az":"a","state":"SERVING"}`), Confirmed: at + 5, By: rosterstore.ByDiscovery, WarmingUpSince: at + 6},
			{UID: "s-2", Entry: json.RawMessage(`{"uid":"s-2","endpoint":"127.0.0.1:9102","az":"b","state":"DRAINING"}`), Confirmed: at + 7, By: rosterstore.ByRunner},
		},
		Excluded: []string{"s-2"}, Reinstated: map[string]time.Duration{"s-1": at + 8},
		Health: health, Runs: map[string]time.Duration{"render": 1500 * time.Millisecond},
	}
}

// writeStoredList replaces storedListFolder by new files, for the flag -update.
func writeStoredList(t *testing.T) {
	t.Helper()
	folder := filepath.Join("testdata", storedListFolder)
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	save := func(name string, rev uint64) {
		dir, err := rosterstore.Open(folder, name, 9)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := dir.Load(func(string, error) {}); err != nil {
			t.Fatal(err)
		}
		if err := dir.Save(storedSnapshot(t, name, rev)); err != nil {
			t.Fatal(err)
		}
	}
	for rev := range 4 {
		save("n0", uint64(41+rev))
	}
	save("n1", 7)
	files, err := filepath.Glob(filepath.Join(folder, "roster-*.state"))
	if err != nil {
		t.Fatal(err)
	}
	dir, err := rosterstore.Open(folder, "n0", 9)
	if err != nil {
		t.Fatal(err)
	}
	all, err := dir.ReadAll()
	if err != nil || len(all) != 4 || len(files) != 5 {
		t.Fatalf("got %d generations of n0 and %d files, want 4 and 5; error: %v", len(all), len(files), err)
	}
	edit := func(name string, change func([]byte) []byte) {
		path := filepath.Join(folder, name)
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, change(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	edit(all[0].File, func(text []byte) []byte {
		binary.BigEndian.PutUint32(text[8:], 2)
		return text
	})
	edit(all[1].File, func(text []byte) []byte { return text[:len(text)-20] })
}

// TestCompatibilityStoredList checks that the runner lists stored by an earlier build are found by
// their file names, read with the same content, and rejected with the same errors.
func TestCompatibilityStoredList(t *testing.T) {
	if *update {
		writeStoredList(t)
	}
	type generation struct {
		File       string
		Generation uint64
		Content    *rosterstore.Snapshot
		Error      string
	}
	found := map[string][]generation{}
	for _, name := range []string{"n0", "n1", ""} {
		dir, err := rosterstore.Open(copyFolder(t, storedListFolder), name, 3)
		if err != nil {
			t.Fatal(err)
		}
		all, err := dir.ReadAll()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range all {
			g := generation{File: f.File, Generation: f.Generation, Content: f.Snapshot}
			if f.Err != nil {
				g.Error = f.Err.Error()
			}
			found["of "+name] = append(found["of "+name], g)
		}
	}
	compareGoldenJSON(t, "storedlist.golden.json", found)
}

// TestCompatibilityStoredListLoad checks that loading takes the newest generation that can be read,
// renames the truncated one in the same way as before and leaves the one of a later format, and
// that the next generation gets a number above all of these.
func TestCompatibilityStoredListLoad(t *testing.T) {
	path := copyFolder(t, storedListFolder)
	dir, err := rosterstore.Open(path, "n0", 9)
	if err != nil {
		t.Fatal(err)
	}
	type skippedFile struct{ File, Error string }
	var skipped []skippedFile
	snapshot, err := dir.Load(func(file string, reason error) { skipped = append(skipped, skippedFile{file, reason.Error()}) })
	if err != nil || snapshot == nil {
		t.Fatalf("Load: got snapshot %v, error %v; want a snapshot", snapshot, err)
	}
	if err := dir.Save(snapshot); err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	compareGoldenJSON(t, "storedlist-load.golden.json", map[string]any{"revision": snapshot.Rev, "passedOver": skipped, "filesAfterwards": names})
}

// TestCompatibilityStoredListFormat checks that an earlier build can read the files that are
// written now: they have the same header and checksum, and a payload with the same JSON.
func TestCompatibilityStoredListFormat(t *testing.T) {
	file, err := rosterstore.Encode(storedSnapshot(t, "n0", 41))
	if err != nil {
		t.Fatal(err)
	}
	const payloadOffset = 8 + 4 + 8 + sha256.Size
	if len(file) < payloadOffset {
		t.Fatalf("file has only %d bytes", len(file))
	}
	header, checksum, payload := file[:payloadOffset-sha256.Size], file[payloadOffset-sha256.Size:payloadOffset], file[payloadOffset:]
	if want := append([]byte("frosttid\x00\x00\x00\x01"), binary.BigEndian.AppendUint64(nil, uint64(len(payload)))...); !bytes.Equal(header, want) {
		t.Errorf("header: got %q, want %q", header, want)
	}
	if want := sha256.Sum256(append(bytes.Clone(header), payload...)); !bytes.Equal(checksum, want[:]) {
		t.Errorf("checksum: got %x, want %x", checksum, want)
	}
	z, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := io.ReadAll(z)
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "storedlist-payload.golden.json", plain)
}
