package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"frosttide/internal/nodefile"
)

// errMistakes is returned after the mistakes in files have been printed.
var errMistakes = errors.New("there are mistakes")

// checkCommand checks files without a running system, and prints the mistakes of all of them.
func checkCommand(_ context.Context, c *invocation) error {
	var settings, config string
	rest, err := c.parseFlags("check", func(f *flag.FlagSet) {
		f.StringVar(&settings, "settings", os.Getenv(nodefile.PathVariable), "settings `file`")
		f.StringVar(&config, "config", "", "configuration `file`")
	})
	if err != nil {
		return err
	}
	if len(rest) > 0 || settings == "" && config == "" {
		return usageError("a settings file, a configuration or both are wanted")
	}
	var failed error
	report := func(err error) {
		if err != nil {
			fmt.Fprintln(c.errOut, err)
			failed = errMistakes
		}
	}
	if settings != "" {
		_, err := nodefile.Read(settings)
		report(err)
	}
	if config != "" {
		report(checkConfigFile(config))
	}
	if failed == nil {
		fmt.Fprintln(c.out, "nothing is wrong")
	}
	return failed
}

func checkConfigFile(path string) error {
	body, err := readFile(path)
	if err != nil {
		return err
	}
	return checkConfig(path, body)
}
