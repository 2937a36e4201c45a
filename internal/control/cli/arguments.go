package cli

import (
	"flag"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"frosttide/internal/nodefile"
)

// addressVariable is the environment variable that holds the address of a core machine's API.
const addressVariable = "FROSTTIDE_CONTROL"

// invocation is one use of a command: its arguments and its outputs.
type invocation struct {
	args   []string
	out    io.Writer
	errOut io.Writer
}

// parseFlags parses flags, which may stand before or after the other arguments, and returns the others.
func (c *invocation) parseFlags(name string, define func(*flag.FlagSet)) ([]string, error) {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(c.errOut)
	define(flags)
	var rest []string
	args := c.args
	for len(args) > 0 {
		if err := flags.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, usageError("%v", err)
		}
		args = flags.Args()
		if len(args) > 0 {
			rest = append(rest, args[0])
			args = args[1:]
		}
	}
	return rest, nil
}

// parseOnlyFlags parses the flags of a command that takes nothing else.
func (c *invocation) parseOnlyFlags(name string, define func(*flag.FlagSet)) error {
	rest, err := c.parseFlags(name, define)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errOnlyFlags()
	}
	return nil
}

func errOnlyFlags() error { return usageError("it takes flags only") }

// queryFlags are the flags of commands that show the state of a running system.
type queryFlags struct {
	address string // of a core machine's API
	json    bool
}

func (q *queryFlags) define(f *flag.FlagSet) {
	f.StringVar(&q.address, "at", "", "`address` of a core machine, host:port")
	f.BoolVar(&q.json, "json", false, "print JSON")
}

// parseQuery parses the flags of a command that shows the state of a running system and takes nothing else.
func (c *invocation) parseQuery(name string) (q queryFlags, err error) {
	rest, err := c.parseFlags(name, q.define)
	if err != nil {
		return q, err
	}
	if q.address, err = coreAddress(q.address); err != nil {
		return q, err
	}
	if len(rest) > 0 {
		return q, errOnlyFlags()
	}
	return q, nil
}

// coreAddress returns the address of the core machine to ask: the one given, or else that of the environment, or else
// the first seed of the settings file.
func coreAddress(given string) (string, error) {
	if given != "" {
		return given, nil
	}
	if address := os.Getenv(addressVariable); address != "" {
		return address, nil
	}
	if path, err := nodefile.Path(); err == nil {
		settings, err := nodefile.Read(path)
		if err != nil {
			return "", err
		}
		if len(settings.Seeds) > 0 {
			return settings.Seeds[0], nil
		}
	}
	return "", usageError("no address: give --at, or set %s", addressVariable)
}
