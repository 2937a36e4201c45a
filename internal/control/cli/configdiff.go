package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
)

// diffConfig prints how a file differs from the configuration in force, item by item.
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

// keysOf returns the sorted keys of both maps, each once.
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

// itemsOf returns the parts of a configuration as compact JSON: the items of its lists by kind and name, everything
// else by its key.
func itemsOf(body []byte) (map[string]json.RawMessage, error) {
	var document map[string]json.RawMessage
	if err := json.Unmarshal(body, &document); err != nil {
		return nil, errors.Wrap(err, "it can't be read")
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

// compact returns JSON without white space.
func compact(value json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if json.Compact(&out, value) != nil {
		return value
	}
	return out.Bytes()
}
