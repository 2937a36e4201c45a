package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"frosttide/internal/nodefile"
)

// errCheckFailed is returned after the errors in the checked files have been printed.
var errCheckFailed = errors.New("the checked files contain errors")

// checkCommand checks a settings file, a configuration file or both without a running system, and
// prints the errors in all of them.
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
			failed = errCheckFailed
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

// checkConfigFile returns the errors in the configuration file at path.
func checkConfigFile(path string) error {
	body, err := readFile(path)
	if err != nil {
		return err
	}
	return checkConfig(path, body)
}
