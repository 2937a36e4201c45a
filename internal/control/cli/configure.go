package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"frosttide/internal/control/apiclient"
	"frosttide/internal/control/scheduler"
	"frosttide/internal/nodefile"
	"frosttide/internal/routeconfig"
)

func printJSON(out io.Writer, v any) error {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "the answer can't be written")
	}
	return raw(out, body)
}

// configCommand reads or changes the configuration.
func configCommand(ctx context.Context, c *call) error {
	var at string
	match := int64(-1)
	rest, err := c.parse("config", func(f *flag.FlagSet) {
		f.StringVar(&at, "at", "", "`address` of a core machine, host:port")
		f.Int64Var(&match, "if-match", -1, "`version` that the change builds on; without it the current one")
	})
	if err != nil {
		return err
	}
	if at, err = address(at); err != nil {
		return err
	}
	switch {
	case slices.Equal(rest, []string{"get"}):
		body, _, err := currentConfig(ctx, at)
		if err != nil {
			return err
		}
		return raw(c.out, body)
	case slices.Equal(rest, []string{"history"}):
		var list []scheduler.Change
		if _, err := apiclient.Get(ctx, at, "/v1/config/history", &list); err != nil {
			return err
		}
		for _, change := range list {
			fmt.Fprintf(c.out, "%d  %s\n", change.Version, change.Order)
		}
		return nil
	case len(rest) == 2 && rest[0] == "put":
		return putConfig(ctx, c, at, rest[1], match)
	case len(rest) == 2 && rest[0] == "diff":
		return diffConfig(ctx, c, at, rest[1])
	default:
		return usage("get, put FILE, diff FILE or history is wanted")
	}
}

// currentConfig returns the configuration in force and its version, 0 before the first.
func currentConfig(ctx context.Context, at string) ([]byte, uint64, error) {
	a, err := apiclient.Ask(ctx, http.MethodGet, at, "/v1/config", "", nil)
	if err != nil {
		return nil, 0, err
	}
	if a.Status == http.StatusNotFound {
		return []byte("{}"), 0, nil
	}
	if a.Status != http.StatusOK {
		return nil, 0, a.Refusal()
	}
	var head struct{ Version uint64 }
	return a.Body, head.Version, errors.Wrap(json.Unmarshal(a.Body, &head), "the configuration can't be read")
}

func readFile(path string) ([]byte, error) {
	body, err := os.ReadFile(path)
	return body, errors.Wrapf(err, "%s: it can't be read", path)
}

// putConfig checks a file and puts it in force.
func putConfig(ctx context.Context, c *call, at, path string, match int64) error {
	body, err := readFile(path)
	if err != nil {
		return err
	}
	if err := checkConfig(path, body); err != nil {
		return err
	}
	version := uint64(max(match, 0))
	if match < 0 {
		if _, version, err = currentConfig(ctx, at); err != nil {
			return err
		}
	}
	a, err := apiclient.Ask(ctx, http.MethodPut, at, "/v1/config", strconv.FormatUint(version, 10), body)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return a.Refusal()
	}
	fmt.Fprintln(c.out, "the configuration is in force")
	return nil
}

// checkConfig tells what is wrong with a configuration by itself.
func checkConfig(path string, body []byte) error {
	_, err := routeconfig.Empty().Apply(body, false)
	return errors.Wrap(err, path)
}

// diffConfig tells how a file differs from what is in force, item by item.
func diffConfig(ctx context.Context, c *call, at, path string) error {
	mine, err := readFile(path)
	if err != nil {
		return err
	}
	theirs, _, err := currentConfig(ctx, at)
	if err != nil {
		return err
	}
	before, err := itemsOf(theirs)
	if err != nil {
		return errors.Wrap(err, "the configuration in force")
	}
	after, err := itemsOf(mine)
	if err != nil {
		return errors.Wrap(err, path)
	}
	for _, key := range keysOf(before, after) {
		old, new := before[key], after[key]
		switch {
		case old == nil:
			fmt.Fprintf(c.out, "+ %s %s\n", key, new)
		case new == nil:
			fmt.Fprintf(c.out, "- %s %s\n", key, old)
		case !bytes.Equal(old, new):
			fmt.Fprintf(c.out, "- %s %s\n+ %s %s\n", key, old, key, new)
		}
	}
	return nil
}

func keysOf(a, b map[string]json.RawMessage) (keys []string) {
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, both := a[key]; !both {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// itemsOf returns the items of a configuration by kind and name.
func itemsOf(body []byte) (map[string]json.RawMessage, error) {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(body, &whole); err != nil {
		return nil, errors.Wrap(err, "it can't be read")
	}
	out := make(map[string]json.RawMessage)
	for member, value := range whole {
		var list []json.RawMessage
		if json.Unmarshal(value, &list) != nil {
			out[member] = compact(value)
			continue
		}
		for _, item := range list {
			var named struct{ Name string }
			if err := json.Unmarshal(item, &named); err != nil {
				return nil, errors.Wrapf(err, "%s", member)
			}
			out[member+"/"+named.Name] = compact(item)
		}
	}
	return out, nil
}

func compact(value json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return value
	}
	return out.Bytes()
}

// check checks files without a running system, and tells all mistakes at once.
func check(_ context.Context, c *call) error {
	var settings, config string
	rest, err := c.parse("check", func(f *flag.FlagSet) {
		f.StringVar(&settings, "settings", os.Getenv(nodefile.Variable), "settings `file`")
		f.StringVar(&config, "config", "", "configuration `file`")
	})
	if err != nil {
		return err
	}
	if len(rest) > 0 || settings == "" && config == "" {
		return usage("a settings file, a configuration or both are wanted")
	}
	var mistakes []error
	if settings != "" {
		_, err := nodefile.Read(settings)
		mistakes = append(mistakes, err)
	}
	if config != "" {
		body, err := readFile(config)
		if err == nil {
			err = checkConfig(config, body)
		}
		mistakes = append(mistakes, err)
	}
	var all error
	for _, m := range mistakes {
		if m != nil {
			fmt.Fprintln(c.err, m)
			all = errChecked
		}
	}
	if all == nil {
		fmt.Fprintln(c.out, "nothing is wrong")
	}
	return all
}

// errChecked is returned where files have mistakes, which have been told.
var errChecked = errors.New("there are mistakes")
