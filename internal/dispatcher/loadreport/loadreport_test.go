package loadreport

import (
	"math"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// TestParse checks that reports are parsed in both forms, and that a missing value is NaN.
func TestParse(t *testing.T) {
	nan := float32(math.NaN())
	columns := []string{"queue", "latency_ms", "x0"}
	for _, tc := range []struct {
		name, text string
		want       []float32
	}{
		{"object", `{"x0":3,"queue":1}`, []float32{1, nan, 3}},
		{"header", "TEXT queue=2, latency_ms=64.5, x0=3.5", []float32{2, 64.5, 3.5}},
		{"unknown column", "TEXT x0=1,other=9", []float32{nan, nan, 1}},
		{"empty", "", nil},
		{"another text", "ok", nil},
		{"empty object", `{}`, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, Parse([]byte(tc.text), columns), cmpopts.EquateNaNs()); diff != "" {
				t.Errorf("values (-want +got):\n%s", diff)
			}
		})
	}
	if got := Parse([]byte("TEXT queue=2"), nil); got != nil {
		t.Errorf("without columns: got %v, want nil", got)
	}
}

// FuzzParse checks that any report yields nil or as many values as there are columns.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"x0":3,"queue":1}`))
	f.Add([]byte("TEXT queue=2, latency_ms=64.5, x0=3.5"))
	f.Add([]byte("TEXT x0=nan,queue=1e999,=,"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if got := Parse(text, []string{"queue", "x0"}); got != nil && len(got) != 2 {
			t.Errorf("Parse(%q) = %v, want nil or 2 values", text, got)
		}
	})
}
