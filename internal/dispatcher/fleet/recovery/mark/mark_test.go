package mark

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestWatermark checks that a watermark is read as it was written, that a missing one is nil, that
// an empty, truncated or corrupt file is an error, and that Drop can be repeated.
func TestWatermark(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keep")
	if m, err := Read(dir); m != nil || err != nil {
		t.Fatalf("Read of a missing file = %v, %v, want nil, nil", m, err)
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
		t.Errorf("watermark differs from the one written (-want +got):\n%s", diff)
	}
	for _, text := range []string{"", `{"log":"l1","ind`, "\x00\xff"} {
		if err := os.WriteFile(filepath.Join(dir, fileName), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if m, err := Read(dir); m != nil || err == nil {
			t.Errorf("Read of a file with %q = %v, %v, want nil and an error", text, m, err)
		}
	}
	for range 2 {
		if err := Drop(dir); err != nil {
			t.Error(err)
		}
	}
}
