// Package compatibility_test pins the formats of the dispatcher that must stay compatible between
// releases: files on disk, messages between processes of different builds, settings, and the names
// of metrics. The files under testdata were written by the build of 2 December 2026; the tests read
// them with the current code.
package compatibility_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

// update makes the tests write the files under testdata before they compare with them. Use it only
// to add a case: the existing files are what older builds read and write.
var update = flag.Bool("update", false, "write the files under testdata")

// compareGolden compares a text with a golden file, given by its path under testdata.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", name, diff)
	}
}

// compareGoldenJSON compares the indented JSON of a value with a golden file.
func compareGoldenJSON(t *testing.T, name string, value any) {
	t.Helper()
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, name, append(text, '\n'))
}

// readFile returns the content of a file under testdata.
func readFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// copyFolder copies a folder under testdata, so that the code under test can write to it, and
// returns the path of the copy.
func copyFolder(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), filepath.Base(name))
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// lines returns the non-empty lines of a text.
func lines(text []byte) [][]byte {
	var out [][]byte
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		if len(line) > 0 {
			out = append(out, line)
		}
	}
	return out
}

// quietLog returns a logger that discards its output.
func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
