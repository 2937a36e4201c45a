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

// traceCommand returns the command that reads files of traces.
func traceCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "trace",
		Short: "Read files of traces",
		Long: `trace reads the files that [telemetry.file] has the program write, and others of
OpenTelemetry's file form. FILE is "-" for standard input; gzip is unpacked.`,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return usageError{errors.New("say show or summary")} },
	}
	cmd.AddCommand(traceShowCommand(), traceSummaryCommand())
	return cmd
}

// traceShowCommand returns the command that prints one request.
func traceShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show FILE ID",
		Short: "Print the tree of a request",
		Long:  `show prints what the requests of a trace went through. ID is a trace's, or the client's X-Trace-Id.`,
		Example: `  frosttide trace show traces.jsonl 9b1f03aa5c7e2d41
  zcat traces.jsonl.*.gz | frosttide trace show - 4bf92f3577b34da6a3ce929d0e0e4736`,
		Args: exactly("FILE", "ID"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return withFile(args[0], func(in io.Reader) error {
				n, err := traceview.Show(cmd.OutOrStdout(), in, args[1])
				if err == nil && n == 0 {
					err = fmt.Errorf("%s holds no request of %s", args[0], args[1])
				}
				return err
			})
		},
	}
}

// traceSummaryCommand returns the command that prints a summary of many requests.
func traceSummaryCommand() *cobra.Command {
	var query traceview.Query
	var from, to string
	cmd := &cobra.Command{
		Use:   "summary FILE",
		Short: "Tell a peak: what was lost, to which cause, on which nodes",
		Example: `  frosttide trace summary traces.jsonl
  frosttide trace summary traces.jsonl --by target --from 2026-11-29T20:45:00Z --to 2026-11-29T21:00:00Z`,
		Args: exactly("FILE"),
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
	f.StringVar(&from, "from", "", "requests that came at this time or later (RFC 3339)")
	f.StringVar(&to, "to", "", "requests that came before this time")
	f.IntVar(&query.MaxWorst, "worst", 10, "how many of the worst requests are named")
	return cmd
}

// parseTimeFlag parses the time of a flag, the zero time for an empty one. It fails with
// a usageError.
func parseTimeFlag(flag, text string) (time.Time, error) {
	at, err := time.Parse(time.RFC3339, text)
	if text != "" && err != nil {
		return time.Time{}, usageError{fmt.Errorf("--%s: %q is no time such as 2026-11-29T20:45:00Z", flag, text)}
	}
	return at, nil
}

// writeSummary writes the summary of the requests that a query selects.
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

// withFile opens a file, reads it and closes it.
func withFile(path string, read func(io.Reader) error) error {
	in, err := traceview.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	return read(in)
}
