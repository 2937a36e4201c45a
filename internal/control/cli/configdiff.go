package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
)

// diffConfig prints the items in which a configuration file differs from the configuration in
// force: a line with "-" for the item in force and one with "+" for the item in the file.
func diffConfig(ctx context.Context, c *invocation, address, path string) error {
	proposedBody, err := readFile(path)
	if err != nil {
		return err
	}
	currentBody, _, err := currentConfig(ctx, address)
	if err != nil {
		return err
	}
	current, err := configItems(currentBody)
	if err != nil {
		return errors.Wrap(err, "the configuration in force")
	}
	proposed, err := configItems(proposedBody)
	if err != nil {
		return errors.Wrap(err, path)
	}
	for _, key := range unionKeys(current, proposed) {
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

// unionKeys returns the sorted union of the keys of two maps.
func unionKeys(a, b map[string]json.RawMessage) (keys []string) {
	for key := range a {
		keys = append(keys, key)
	}
	for key := range b {
		if _, inBoth := a[key]; !inBoth {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// configItems splits a configuration into items of compact JSON. The elements of lists have keys of
// the form LIST/NAME; all other values have their own key.
func configItems(body []byte) (map[string]json.RawMessage, error) {
	var document map[string]json.RawMessage
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, errors.Wrap(err, "decode JSON")
	}
	out := make(map[string]json.RawMessage)
	for kind, value := range document {
		var items []json.RawMessage
		if json.Unmarshal(value, &items) != nil {
			out[kind] = compact(value)
			continue
		}
		for _, item := range items {
			var named struct{ Name string }
			if err := json.Unmarshal(item, &named); err != nil {
				return nil, errors.Wrapf(err, "%s", kind)
			}
			out[kind+"/"+named.Name] = compact(item)
		}
	}
	return out, nil
}

// compact returns JSON without insignificant white space. Invalid JSON is returned unchanged.
func compact(value json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return value
	}
	return out.Bytes()
}
