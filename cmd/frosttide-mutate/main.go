// Command frosttide-mutate is a mutation test of the cluster scheduler: it removes its safety
// checks from the source, one at a time, and prints what detects the removal: the package's tests,
// the simulated network, the schedule explorer, or nothing. It needs the repository's source and
// the Go tools, and changes no file. It exits with status 1 if any mutation could not be tried, and
// with status 2 for invalid arguments.
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
	only := flag.String("only", "", "try only the checks whose name contains this text")
	first := flag.Int("first", 0, "index of the first check to try")
	count := flag.Int("count", len(mutate.Mutations), "number of checks to try, from -first on")
	var bounds mutate.Bounds
	flag.IntVar(&bounds.Seeds, "seeds", 500, "seeds of the simulated network")
	flag.IntVar(&bounds.Singles, "singles", 1, "the explorer runs every n-th single deviation, 1 for all")
	flag.IntVar(&bounds.Pairs, "pairs", 100_003, "the explorer runs every n-th pair of deviations, 1 for all")
	flag.Parse()
	if flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "frosttide-mutate: unexpected arguments; only flags are accepted")
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

// run tries mutations, prints a table row for each, and returns the number of mutations that could
// not be tried. It stops early if the context ends.
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
