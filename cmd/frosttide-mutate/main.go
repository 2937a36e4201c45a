// Command frosttide-mutate takes each safety check of the cluster scheduler out of the source, one at a time, and
// prints who finds it missing: the simulated network, the explorer of schedules, or nothing. It needs the
// repository's source and the Go tools; it changes no file.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"frosttide/internal/testkit/lab/mutate"
)

func main() {
	root := flag.String("root", ".", "the repository's root")
	only := flag.String("only", "", "only the checks whose name holds this")
	first := flag.Int("first", 0, "the first check, by its place in the list")
	seeds := flag.Int("seeds", 500, "seeds of the simulated network")
	singles := flag.Int("singles", 1, "the explorer plays each so manieth departure")
	pairs := flag.Int("pairs", 100_003, "and each so manieth pair of departures")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "frosttide-mutate: takes flags only")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	missed, failed := 0, 0
	for i, c := range mutate.Mutations {
		if i < *first || !strings.Contains(c.Name, *only) || ctx.Err() != nil {
			continue
		}
		f, err := mutate.Run(ctx, *root, c, mutate.Bounds{Seeds: *seeds, Singles: *singles, Pairs: *pairs})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed++
			continue
		}
		if f.Detector == mutate.Undetected {
			missed++
		}
		fmt.Printf("| %s | %s | %s | %v |\n", c.Name, f.Detector, f.Detail, f.Duration.Round(time.Second))
	}
	fmt.Printf("%d found by nothing, %d could not be tried\n", missed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}
