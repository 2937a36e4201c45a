// Package compatibility holds the tests that pin the formats that outlive a release of the dispatcher: files that
// an earlier build has written, messages between processes of different builds, settings and metric names. The
// files under testdata were written by the build of 2 December 2026; the tests read them with today's code.
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

// update has the tests write the files under testdata instead of comparing with them. That is only right for a
// case that is new: what is already there is what older builds read and write.
var update = flag.Bool("update", false, "write the files under testdata")

// compareGolden compares a text with the golden file of that name.
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

// compareGoldenJSON compares a value's indented JSON with the golden file of that name.
func compareGoldenJSON(t *testing.T, name string, value any) {
	t.Helper()
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, name, append(text, '\n'))
}

// readFile returns what a file under testdata holds.
func readFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// copyFolder returns a copy of a folder under testdata which the code under test may write to.
func copyFolder(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), filepath.Base(name))
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// lines returns the lines of a text that hold anything.
func lines(text []byte) [][]byte {
	var out [][]byte
	for line := range bytes.SplitSeq(text, []byte("\n")) {
		if len(line) > 0 {
			out = append(out, line)
		}
	}
	return out
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}
