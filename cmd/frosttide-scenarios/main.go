// Command frosttide-scenarios writes variations of a site file of the fleet bench, each with days that
// combine kinds of faults by pairs, for finding violated rules on deployments that nobody has seen. It exits with status 2 for
// mistakes in the arguments, 1 for other errors.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"frosttide/internal/testkit/lab/scenarios"
)

func main() {
	site := flag.String("site", "", "the site file to vary")
	out := flag.String("out", "", "the folder that the variations are written to")
	first := flag.Uint64("first", 1, "the first seed")
	count := flag.Uint64("count", 1, "how many variations")
	days := flag.Int("days", 4, "days with faults in each")
	same := flag.Bool("same", false, "keep the deployment, draw days only")
	flag.Parse()
	if *site == "" || *out == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "frosttide-scenarios: want -site FILE -out FOLDER")
		os.Exit(2)
	}
	for seed := *first; seed < *first+*count; seed++ {
		path, err := write(*site, *out, scenarios.Options{Seed: seed, Days: *days, KeepDeployment: *same})
		if err != nil {
			fmt.Fprintf(os.Stderr, "frosttide-scenarios: %s: %v\n", *site, err)
			os.Exit(1)
		}
		fmt.Println(path)
	}
}

// write writes one variation of a site file to a folder and returns its path.
func write(site, out string, o scenarios.Options) (string, error) {
	data, err := os.ReadFile(site)
	if err != nil {
		return "", errors.Wrap(err, "read the site")
	}
	o.Folder, err = filepath.Abs(filepath.Dir(site))
	if err != nil {
		return "", errors.Wrap(err, "find the folder of the site")
	}
	varied, err := scenarios.Generate(data, o)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return "", errors.Wrap(err, "make the folder")
	}
	path := filepath.Join(out, fmt.Sprintf("variant-%d.toml", o.Seed))
	return path, errors.Wrap(os.WriteFile(path, varied, 0o644), "write the variation")
}
