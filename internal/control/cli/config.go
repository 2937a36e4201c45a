package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/routeconfig"
)

// currentVersion is the default of --if-match. It stands for the version in force when the change
// is sent.
const currentVersion = -1

// configCommand prints, replaces or compares the configuration, or prints its history.
func configCommand(ctx context.Context, c *invocation) error {
	var address string
	var ifMatch int64
	rest, err := c.parseFlags("config", func(f *flag.FlagSet) {
		f.StringVar(&address, "at", "", "`address` of a core machine, host:port")
		f.Int64Var(&ifMatch, "if-match", currentVersion, "`version` that the change is based on; by default the current one")
	})
	if err != nil {
		return err
	}
	if address, err = coreAddress(address); err != nil {
		return err
	}
	switch {
	case slices.Equal(rest, []string{"get"}):
		body, _, err := currentConfig(ctx, address)
		if err != nil {
			return err
		}
		return printRaw(c.out, body)
	case slices.Equal(rest, []string{"history"}):
		return printConfigHistory(ctx, c, address)
	case len(rest) == 2 && rest[0] == "put":
		return putConfig(ctx, c, address, rest[1], ifMatch)
	case len(rest) == 2 && rest[0] == "diff":
		return diffConfig(ctx, c, address, rest[1])
	default:
		return usageError("expected get, put FILE, diff FILE or history")
	}
}

// currentConfig returns the configuration in force as JSON, and its version. If there is none yet,
// it returns an empty object and 0.
func currentConfig(ctx context.Context, address string) ([]byte, uint64, error) {
	body, err := apiclient.Do(ctx, apiclient.Call{Method: http.MethodGet, Address: address, Path: "/v1/config"})
	var refused *apiclient.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Status == http.StatusNotFound:
		return []byte("{}"), 0, nil
	case err != nil:
		return nil, 0, err
	}
	var config struct{ Version uint64 }
	return body, config.Version, errors.Wrap(json.Unmarshal(body, &config), "decode configuration")
}

// printConfigHistory prints the versions of the newest changes and the digests of their requests.
func printConfigHistory(ctx context.Context, c *invocation, address string) error {
	var updates []scheduler.ConfigUpdate
	if _, err := apiclient.Get(ctx, address, "/v1/config/history", &updates); err != nil {
		return err
	}
	for _, update := range updates {
		fmt.Fprintf(c.out, "%d  %s\n", update.Version, update.Digest)
	}
	return nil
}

// putConfig checks the configuration file at path and puts it in force, provided that the version
// in force is ifMatch. A negative ifMatch stands for the current version.
func putConfig(ctx context.Context, c *invocation, address, path string, ifMatch int64) error {
	body, err := readFile(path)
	if err != nil {
		return err
	}
	if err := checkConfig(path, body); err != nil {
		return err
	}
	version := uint64(max(ifMatch, 0))
	if ifMatch < 0 {
		if _, version, err = currentConfig(ctx, address); err != nil {
			return err
		}
	}
	call := apiclient.Call{Method: http.MethodPut, Address: address, Path: "/v1/config", IfMatch: strconv.FormatUint(version, 10), Body: body}
	if _, err := apiclient.Do(ctx, call); err != nil {
		return err
	}
	fmt.Fprintln(c.out, "the configuration is in force")
	return nil
}

// checkConfig returns the errors in a configuration that can be found without knowing the
// configuration in force. path is the name of the file for the error.
func checkConfig(path string, body []byte) error {
	_, err := routeconfig.Empty().Apply(body, routeconfig.Document)
	return errors.Wrap(err, path)
}

// readFile returns the content of the file at path. An error names the file.
func readFile(path string) ([]byte, error) {
	body, err := os.ReadFile(path)
	return body, errors.Wrapf(err, "%s can't be read", path)
}
