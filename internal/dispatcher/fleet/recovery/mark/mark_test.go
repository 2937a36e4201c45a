package mark

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestMark has a mark read as it was written, none where there is none, and an error that
// names the file where it is cut, empty or garbage.
func TestMark(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keep")
	if m, err := Read(dir); m != nil || err != nil {
		t.Fatalf("of nothing: %v, %v", m, err)
	}
	want := Mark{Log: "l1", Index: 7, Out: []string{"s-1"}}
	if err := Write(dir, want); err != nil {
		t.Fatal(err)
	}
	got, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	for _, text := range []string{"", `{"log":"l1","ind`, "\x00\xff"} {
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if m, err := Read(dir); m != nil || err == nil {
			t.Errorf("of %q: %v, %v", text, m, err)
		}
	}
	for range 2 {
		if err := Drop(dir); err != nil {
			t.Error(err)
		}
	}
}
