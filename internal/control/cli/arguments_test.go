package cli

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestParseFlags(t *testing.T) {
	tests := []struct {
		name string
		args []string
		rest []string
		want queryFlags
	}{
		{"no arguments", nil, nil, queryFlags{}},
		{"flags first", []string{"--json", "--at", "a:1", "show", "x"}, []string{"show", "x"}, queryFlags{address: "a:1", json: true}},
		{"flags last", []string{"show", "x", "--at", "a:1", "--json"}, []string{"show", "x"}, queryFlags{address: "a:1", json: true}},
		{"flags between arguments", []string{"show", "--at=a:1", "x"}, []string{"show", "x"}, queryFlags{address: "a:1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &invocation{args: test.args}
			var got queryFlags
			rest, err := c.parseFlags("jobs", got.define)
			require.NoError(t, err)
			require.Equal(t, test.rest, rest)
			require.Equal(t, test.want, got)
		})
	}
}

func TestParseUnknownFlag(t *testing.T) {
	var errOut bytes.Buffer
	c := &invocation{args: []string{"list", "--bad"}, errOut: &errOut}
	var q queryFlags
	_, err := c.parseFlags("jobs", q.define)
	require.True(t, errors.Is(err, errUsage), "%v", err)
	require.Contains(t, errOut.String(), "-bad")
}

func TestCoreAddress(t *testing.T) {
	t.Setenv("FROSTTIDE_NODE_FILE", "")
	t.Setenv(addressVariable, "")
	_, err := coreAddress("")
	require.True(t, errors.Is(err, errUsage), "%v", err)
	t.Setenv(addressVariable, "b:1")
	address, err := coreAddress("")
	require.NoError(t, err)
	require.Equal(t, "b:1", address)
	address, err = coreAddress("a:1")
	require.NoError(t, err)
	require.Equal(t, "a:1", address)
}
