// Command frosttide-scenarios generates variations of a site file of the fleet bench. The days of
// each variation combine the kinds of faults pairwise, to find violated rules on deployments that
// were never tested. It exits with status 2 for invalid arguments and with status 1 for other
// errors.
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
	count := flag.Uint64("count", 1, "number of variations")
	days := flag.Int("days", 4, "days with faults in each variation")
	same := flag.Bool("same", false, "keep the deployment and vary only the days")
	flag.Parse()
	if *site == "" || *out == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "frosttide-scenarios: -site FILE and -out FOLDER are required")
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

// write writes one variation of the site file at site to the folder out, and returns its path.
func write(site, out string, o scenarios.Options) (string, error) {
	data, err := os.ReadFile(site)
	if err != nil {
		return "", errors.Wrap(err, "read the site file")
	}
	o.Folder, err = filepath.Abs(filepath.Dir(site))
	if err != nil {
		return "", errors.Wrap(err, "resolve the folder of the site file")
	}
	varied, err := scenarios.Generate(data, o)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return "", errors.Wrap(err, "create the output folder")
	}
	path := filepath.Join(out, fmt.Sprintf("variant-%d.toml", o.Seed))
	return path, errors.Wrap(os.WriteFile(path, varied, 0o644), "write the variation")
}
