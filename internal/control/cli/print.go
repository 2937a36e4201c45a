package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// jobStates are the states of jobs in the order in which counts of them are printed.
var jobStates = []string{"pending", "running", "completed", "failed", "canceled"}

// printJobCounts ends a line with the number of jobs in each state.
func printJobCounts(out io.Writer, counts map[string]int) {
	for _, state := range jobStates {
		fmt.Fprintf(out, " %d %s", counts[state], state)
	}
	fmt.Fprintln(out)
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, v any) error {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "the answer can't be written")
	}
	return printRaw(out, body)
}

// printRaw prints JSON as it arrived.
func printRaw(out io.Writer, body []byte) error {
	_, err := fmt.Fprintf(out, "%s\n", strings.TrimSpace(string(body)))
	return err
}

// formatTime formats a time of day in ms since 1970, 0 as none.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
