package routeconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const first = `{"Version":5,"Routes":[{"Name":"b","Host":"H.example","PathPrefix":"/x/","TimeoutMs":3000,"Service":"s","MaxAttempts":2,"Odd":[1]},` +
	`{"Name":"a","Host":"h.example","PathPrefix":"/x/y/","TimeoutMs":3000,"Service":"s"}],"Services":[{"Name":"s","HealthPath":"/health"}],"Limits":{"MaxBodyBytes":100}}`

func apply(t *testing.T, on *Table, body string, patch bool) *Table {
	t.Helper()
	c, err := on.Apply([]byte(body), patch)
	require.NoError(t, err)
	return c.Table
}

func TestDocumentRoundTrip(t *testing.T) {
	table := apply(t, Empty(), first, false)
	require.JSONEq(t, first, string(table.Document()))
	require.Equal(t, "a", table.Match("h.example:80", "/x/y/1").Name)
	require.Equal(t, "b", table.Match("h.example", "/x/z").Name)
	require.Nil(t, table.Match("other", "/x/z"))
	require.EqualValues(t, 100, table.Limits().MaxBodyBytes)
}

func TestPatch(t *testing.T) {
	table := apply(t, Empty(), first, false)
	table = apply(t, table, `{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h.example","PathPrefix":"/c/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["a","none"]}}`, true)
	require.EqualValues(t, 9, table.Version)
	require.Equal(t, "b", table.Match("h.example", "/x/y/1").Name)
	require.Equal(t, "c", table.Match("h.example", "/c/1").Name)
	require.Regexp(t, `"b".*"c"`, string(table.Document()))
}

func TestInvalid(t *testing.T) {
	table := apply(t, Empty(), first, false)
	for name, body := range map[string]string{
		"cut short":             first[:100],
		"no object":             `[]`,
		"a number that is none": `{"Version":6,"Odd":{"a":00}}`,
		"a text that is none":   `{"Version":6,"Odd":"\q"}`,
		"no version":            `{"Routes":[]}`,
		"version not above":     first,
		"fraction":              strings.Replace(first, `"Version":5`, `"Version":5.5`, 1),
		"unknown service":       strings.NewReplacer(`"Version":5`, `"Version":6`, `"Service":"s"`, `"Service":"t"`).Replace(first),
		"no time-out":           strings.NewReplacer(`"Version":5`, `"Version":6`, `3000`, `0`).Replace(first),
		"same place":            strings.NewReplacer(`"Version":5`, `"Version":6`, `/x/y/`, `/x/`).Replace(first),
		"name stands twice":     strings.NewReplacer(`"Version":5`, `"Version":6`, `"Name":"a"`, `"Name":"b"`).Replace(first),
		"routes are no list":    `{"Version":6,"Routes":{}}`,
	} {
		_, err := table.Apply([]byte(body), false)
		require.True(t, errors.Is(err, ErrInvalid), name)
	}
	_, err := table.Apply([]byte(`{"Version":6,"Remove":{"Services":["s"]}}`), true)
	require.True(t, errors.Is(err, ErrInvalid), "a service that routes use is removed")
}

func TestDeltasLeadToTheSame(t *testing.T) {
	table := apply(t, Empty(), first, false)
	versions := []*Table{Empty(), table}
	for i := range 20 {
		body := fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"n%d","Host":"h","PathPrefix":"/n%d/","TimeoutMs":%d,"Service":"s"}]},"Remove":{"Routes":["n%d"]}}`,
			10+3*i, i%7, i%7, i+1, (i+3)%7)
		table = apply(t, table, body, true)
		versions = append(versions, table)
	}
	full := apply(t, table, strings.Replace(first, `"Version":5`, `"Version":99`, 1), false)
	versions = append(versions, full)
	for _, from := range versions {
		for _, to := range versions {
			got, ok := from.ApplyDelta(to.DeltaSince(from.Version))
			require.True(t, ok)
			newest := to
			if from.Version > to.Version {
				newest = from
			}
			require.JSONEq(t, string(newest.Document()), string(got.Document()))
		}
	}
}

func TestWrongDeltaIsNoticed(t *testing.T) {
	table := apply(t, Empty(), first, false)
	delta := table.DeltaSince(0)
	delta.Digest++
	_, ok := Empty().ApplyDelta(delta)
	require.False(t, ok)
}

// FuzzApply has any body be applied as a whole configuration and as a change of one: it is refused, or what it
// leads to is read back as the same.
func FuzzApply(f *testing.F) {
	f.Add([]byte(strings.Replace(first, `"Version":5`, `"Version":6`, 1)), false)
	f.Add([]byte(`{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h.example","PathPrefix":"/c/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["a","none"]}}`), true)
	f.Add([]byte(`{"Version":18446744073709551616}`), false)
	f.Add([]byte(`{"Version":9,"Routes":[{}],"Services":[null],"Limits":[]}`), false)
	f.Fuzz(func(t *testing.T, body []byte, patch bool) {
		previous, err := Empty().Apply([]byte(first), false)
		require.NoError(t, err)
		change, err := previous.Table.Apply(body, patch)
		if err != nil {
			require.True(t, errors.Is(err, ErrInvalid), "%v", err)
			return
		}
		again, err := Empty().Apply(change.Table.Document(), false)
		require.NoError(t, err, "%s", change.Table.Document())
		require.JSONEq(t, string(change.Table.Document()), string(again.Table.Document()))
	})
}

// TestRemovedItemsAreBounded adds and removes routes again and again: the table stays within its bound, and those who
// follow from any version get the same table.
func TestRemovedItemsAreBounded(t *testing.T) {
	table := Empty()
	apply := func(body string, patch bool) {
		t.Helper()
		c, err := table.Apply([]byte(body), patch)
		require.NoError(t, err)
		table = c.Table
	}
	apply(`{"Version":1,"Routes":[],"Services":[{"Name":"s"}]}`, false)
	early := table
	var middle *Table
	for n := 2; n < 2+2*maxTombstones; n++ {
		apply(fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"r%d","Host":"h","PathPrefix":"/%d/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["r%d"]}}`, n, n, n, n-1), true)
		if n == 2+maxTombstones+maxTombstones/2 {
			middle = table
		}
	}
	require.LessOrEqual(t, len(table.items), maxTombstones+2)
	for _, from := range []*Table{Empty(), early, middle, Load(table.Record(), table.items)} {
		delta := table.DeltaSince(from.Version)
		next, ok := from.ApplyDelta(delta)
		require.True(t, ok)
		require.Equal(t, table.Digest, next.Digest)
		require.Equal(t, string(table.Document()), string(next.Document()))
	}
}
