package cli

import (
	"flag"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"frosttide/internal/nodefile"
)

// addressVariable is the environment variable with the address of a core machine's API, host:port.
const addressVariable = "FROSTTIDE_CONTROL"

// invocation holds the arguments and the output streams of a command.
type invocation struct {
	args   []string // without the name of the command
	out    io.Writer
	errOut io.Writer
}

// parseFlags parses the flags of a command, which may precede, follow or be mixed with its other
// arguments, and returns the other arguments. The error is flag.ErrHelp if help was requested, and
// is marked with errUsage otherwise.
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

// parseOnlyFlags parses the flags of a command that takes no other arguments.
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

// errOnlyFlags returns the usage error of a command that takes no arguments other than flags.
func errOnlyFlags() error { return usageError("the command takes flags only") }

// queryFlags are the flags of commands that query a running system.
type queryFlags struct {
	address string // of a core machine's API, host:port
	json    bool   // print JSON instead of text
}

// define adds the flags to a flag set.
func (q *queryFlags) define(f *flag.FlagSet) {
	f.StringVar(&q.address, "at", "", "`address` of a core machine, host:port")
	f.BoolVar(&q.json, "json", false, "print JSON")
}

// parseQuery parses the flags of a command that queries a running system and takes no other
// arguments. It sets the address to the default if the flag is missing.
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

// coreAddress returns the address of the core machine to query: flagValue if it is not empty,
// otherwise the value of addressVariable, otherwise the first seed in the settings file.
func coreAddress(flagValue string) (string, error) {
	if flagValue != "" {
		return flagValue, nil
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
