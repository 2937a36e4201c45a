package mark

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestWatermark checks that a watermark is read as written, that a missing one is nil, and that a
// truncated, empty or garbled file is an error.
func TestWatermark(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keep")
	if m, err := Read(dir); m != nil || err != nil {
		t.Fatalf("of nothing: %v, %v", m, err)
	}
	want := Watermark{Log: "l1", Index: 7, Out: []string{"s-1"}}
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
		if err := os.WriteFile(filepath.Join(dir, fileName), []byte(text), 0o600); err != nil {
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
