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

// TestFaults runs each fault script with several processes of the program. It checks the behavior
// that is visible from outside against the rules, and the logs and replicas against their
// invariants.
func TestFaults(t *testing.T) {
	t.Parallel()
	scripts, err := filepath.Glob(filepath.Join("..", "..", "internal", "testkit", "lab", "faults", "scripts", "*.txt"))
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no fault scripts found, error %v", err)
	}
	// Limits the scripts that run at the same time: each has up to five processes.
	slots := make(chan struct{}, max(runtime.GOMAXPROCS(0)/2, 1))
	for _, path := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
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
				t.Errorf("broken rules:\n%s\n%s", strings.Join(got.Broken, "\n"), got.Logs)
			}
		})
	}
}

// programCommand returns a command that runs this test binary as the real program.
func programCommand(args ...string) *exec.Cmd {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = []string{"FROSTTIDE_TEST_PROGRAM=1", raceOptions}
	return cmd
}
