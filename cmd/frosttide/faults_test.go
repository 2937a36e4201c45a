package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"frosttide/internal/testkit/lab/faults"
)

// TestFaults plays the scripts of faults with several processes of the program each, and holds
// what is seen from outside against the rules and the invariants of the log and the copies.
func TestFaults(t *testing.T) {
	t.Parallel()
	scripts, err := filepath.Glob(filepath.Join("..", "..", "internal", "testkit", "lab", "faults", "scripts", "*.txt"))
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	atOnce := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1)) // each script has up to five processes
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			t.Parallel()
			atOnce <- struct{}{}
			defer func() { <-atOnce }()
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			s, err := faults.Parse(filepath.Base(path), string(text))
			if err != nil {
				t.Fatal(err)
			}
			got, err := faults.Run(s, programCommand, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			t.Log("\n" + strings.Join(got.Timeline, "\n"))
			if len(got.Broken) > 0 {
				t.Errorf("broken: %s\n%s", strings.Join(got.Broken, "\n"), got.Logs)
			}
		})
	}
}

// programCommand is this test binary as the program.
func programCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = []string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}
	return cmd
}
