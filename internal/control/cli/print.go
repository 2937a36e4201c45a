package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// jobStates lists the job states in the order in which their counts are printed.
var jobStates = []string{"pending", "running", "completed", "failed", "canceled"}

// printJobCounts prints the number of jobs in each state and ends the line.
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
		return errors.Wrap(err, "encode JSON")
	}
	return printRaw(out, body)
}

// printRaw prints JSON as it was received, without surrounding white space, and ends the line.
func printRaw(out io.Writer, body []byte) error {
	_, err := fmt.Fprintf(out, "%s\n", strings.TrimSpace(string(body)))
	return err
}

// formatTime formats a time of day in ms since 1970 as RFC 3339 in UTC, and 0 as "-".
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
