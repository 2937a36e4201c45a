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
	return printRaw(out, body)
}

// configCommand reads or changes the configuration.
func configCommand(ctx context.Context, c *invocation) error {
	var address string
	ifMatch := int64(-1)
	rest, err := c.parseFlags("config", func(f *flag.FlagSet) {
		f.StringVar(&address, "at", "", "`address` of a core machine, host:port")
		f.Int64Var(&ifMatch, "if-match", -1, "`version` that the change builds on; without it the current one")
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
		var items []scheduler.ConfigUpdate
		if _, err := apiclient.Get(ctx, address, "/v1/config/history", &items); err != nil {
			return err
		}
		for _, change := range items {
			fmt.Fprintf(c.out, "%d  %s\n", change.Version, change.Digest)
		}
		return nil
	case len(rest) == 2 && rest[0] == "put":
		return putConfig(ctx, c, address, rest[1], ifMatch)
	case len(rest) == 2 && rest[0] == "diff":
		return diffConfig(ctx, c, address, rest[1])
	default:
		return usageError("get, put FILE, diff FILE or history is wanted")
	}
}

// currentConfig returns the configuration in force and its version, 0 before the first.
func currentConfig(ctx context.Context, address string) ([]byte, uint64, error) {
	a, err := apiclient.Do(ctx, http.MethodGet, address, "/v1/config", "", nil)
	if err != nil {
		return nil, 0, err
	}
	if a.Status == http.StatusNotFound {
		return []byte("{}"), 0, nil
	}
	if a.Status != http.StatusOK {
		return nil, 0, a.Err()
	}
	var head struct{ Version uint64 }
	return a.Body, head.Version, errors.Wrap(json.Unmarshal(a.Body, &head), "the configuration can't be read")
}

func readFile(path string) ([]byte, error) {
	body, err := os.ReadFile(path)
	return body, errors.Wrapf(err, "%s: it can't be read", path)
}

// putConfig checks a file and puts it in force.
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
	a, err := apiclient.Do(ctx, http.MethodPut, address, "/v1/config", strconv.FormatUint(version, 10), body)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return a.Err()
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
func diffConfig(ctx context.Context, c *invocation, address, path string) error {
	proposedBody, err := readFile(path)
	if err != nil {
		return err
	}
	currentBody, _, err := currentConfig(ctx, address)
	if err != nil {
		return err
	}
	current, err := itemsOf(currentBody)
	if err != nil {
		return errors.Wrap(err, "the configuration in force")
	}
	proposed, err := itemsOf(proposedBody)
	if err != nil {
		return errors.Wrap(err, path)
	}
	for _, key := range keysOf(current, proposed) {
		currentItem, proposedItem := current[key], proposed[key]
		switch {
		case currentItem == nil:
			fmt.Fprintf(c.out, "+ %s %s\n", key, proposedItem)
		case proposedItem == nil:
			fmt.Fprintf(c.out, "- %s %s\n", key, currentItem)
		case !bytes.Equal(currentItem, proposedItem):
			fmt.Fprintf(c.out, "- %s %s\n+ %s %s\n", key, currentItem, key, proposedItem)
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
	var document map[string]json.RawMessage
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, errors.Wrap(err, "it can't be read")
	}
	out := make(map[string]json.RawMessage)
	for member, value := range document {
		var items []json.RawMessage
		if json.Unmarshal(value, &items) != nil {
			out[member] = compact(value)
			continue
		}
		for _, item := range items {
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

// checkCommand checks files without a running system, and tells all mistakes at once.
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
			fmt.Fprintln(c.errOut, m)
			all = errMistakes
		}
	}
	if all == nil {
		fmt.Fprintln(c.out, "nothing is wrong")
	}
	return all
}

// errMistakes is returned where files have mistakes, which have been told.
var errMistakes = errors.New("there are mistakes")
