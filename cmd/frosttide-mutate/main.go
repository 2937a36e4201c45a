// Command frosttide-mutate takes each safety check of the cluster scheduler out of the source, one at a time, and prints
// who detects that it is missing: the package's tests, the simulated network, the explorer of schedules, or nothing. It needs the repository's
// source and the Go tools; it changes no file. It exits with status 1 if any check could not be tried, 2 for mistakes in
// the arguments.
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
	count := flag.Int("count", len(mutate.Mutations), "how many checks from there on")
	var bounds mutate.Bounds
	flag.IntVar(&bounds.Seeds, "seeds", 500, "seeds of the simulated network")
	flag.IntVar(&bounds.Singles, "singles", 1, "the explorer tries one of so many single departures")
	flag.IntVar(&bounds.Pairs, "pairs", 100_003, "and one of so many pairs of departures")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "frosttide-mutate: takes flags only")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var chosen []mutate.Mutation
	for i, m := range mutate.Mutations {
		if i >= *first && i < *first+*count && strings.Contains(m.Name, *only) {
			chosen = append(chosen, m)
		}
	}
	if failed := run(ctx, *root, chosen, bounds); failed > 0 {
		os.Exit(1)
	}
}

// run tries mutations, prints a table row for each, and returns how many could not be tried. It stops early if the context
// ends.
func run(ctx context.Context, root string, mutations []mutate.Mutation, bounds mutate.Bounds) (failed int) {
	undetected := 0
	for _, m := range mutations {
		if ctx.Err() != nil {
			break
		}
		result, err := mutate.Run(ctx, root, m, bounds)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			failed++
			continue
		}
		if result.Detector == mutate.Undetected {
			undetected++
		}
		fmt.Printf("| %s | %s | %s | %v |\n", m.Name, result.Detector, result.Detail, result.Duration.Round(time.Second))
	}
	fmt.Printf("%d found by nothing, %d could not be tried\n", undetected, failed)
	return failed
}
