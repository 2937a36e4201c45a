package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"frosttide/internal/dispatcher/traceview"
)

// traceCommand returns the command that reads trace files.
func traceCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Read trace files",
		Long: `trace reads the files written through [telemetry.file], and other files in OpenTelemetry's
file format. FILE is "-" for standard input; gzip is decompressed.`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return usageError{errors.New("say show or summary")} },
	}
	cmd.AddCommand(traceShowCommand(), traceSummaryCommand())
	return cmd
}

// traceShowCommand returns the command that prints the requests of one trace.
func traceShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show FILE ID",
		Short: "Print the requests of a trace as a tree",
		Long:  `show prints the spans of a trace's requests. ID is a trace ID or the client's X-Trace-Id.`,
		Example: `  frosttide trace show traces.jsonl 9b1f03aa5c7e2d41
  zcat traces.jsonl.*.gz | frosttide trace show - 4bf92f3577b34da6a3ce929d0e0e4736`,
		Args: exactArgs("FILE", "ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFile(args[0], func(in io.Reader) error {
				n, err := traceview.Show(cmd.OutOrStdout(), in, args[1])
				if err == nil && n == 0 {
					err = fmt.Errorf("%s contains no request with ID %s", args[0], args[1])
				}
				return err
			})
		},
	}
}

// traceSummaryCommand returns the command that prints a summary of the requests in a file.
func traceSummaryCommand() *cobra.Command {
	var query traceview.Query
	var from, to string
	cmd := &cobra.Command{
		Use:   "summary FILE",
		Short: "Summarize requests: losses by cause and by node",
		Example: `  frosttide trace summary traces.jsonl
  frosttide trace summary traces.jsonl --by target --from 2026-11-29T20:45:00Z --to 2026-11-29T21:00:00Z`,
		Args: exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !slices.Contains(traceview.Groups, query.GroupBy) {
				return usageError{fmt.Errorf("--by is none of %s", strings.Join(traceview.Groups, ", "))}
			}
			var err error
			if query.From, err = parseTimeFlag("from", from); err != nil {
				return err
			}
			if query.To, err = parseTimeFlag("to", to); err != nil {
				return err
			}
			return withFile(args[0], func(in io.Reader) error { return writeSummary(cmd.OutOrStdout(), in, query) })
		},
	}
	f := cmd.Flags()
	f.StringVar(&query.GroupBy, "by", "class", "rows of the first table: class, target or answer")
	f.StringVar(&from, "from", "", "only requests that arrived at this time or later (RFC 3339)")
	f.StringVar(&to, "to", "", "only requests that arrived before this time (RFC 3339)")
	f.IntVar(&query.MaxWorst, "worst", 10, "number of worst requests to list")
	return cmd
}

// parseTimeFlag parses the RFC 3339 time of a flag; an empty text is the zero time. Invalid text is
// a usageError.
func parseTimeFlag(flag, text string) (time.Time, error) {
	at, err := time.Parse(time.RFC3339, text)
	if text != "" && err != nil {
		return time.Time{}, usageError{fmt.Errorf("--%s: %q is no time such as 2026-11-29T20:45:00Z", flag, text)}
	}
	return at, nil
}

// writeSummary writes the summary of the requests that a query selects. Unreadable lines are
// counted on standard error.
func writeSummary(out io.Writer, in io.Reader, query traceview.Query) error {
	s := traceview.NewSummary(query)
	unread, err := traceview.Read(in, s.Add)
	if err != nil {
		return err
	}
	if unread > 0 {
		fmt.Fprintf(os.Stderr, "lines that could not be read: %d\n", unread)
	}
	return s.Write(out)
}

// withFile opens a trace file, passes it to read and closes it.
func withFile(path string, read func(io.Reader) error) error {
	in, err := traceview.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	return read(in)
}
