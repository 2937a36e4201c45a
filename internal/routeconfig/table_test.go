package routeconfig

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const sample = `{"Version":5,"Routes":[{"Name":"b","Host":"H.example","PathPrefix":"/x/","TimeoutMs":3000,"Service":"s","MaxAttempts":2,"Odd":[1]},` +
	`{"Name":"a","Host":"h.example","PathPrefix":"/x/y/","TimeoutMs":3000,"Service":"s"}],"Services":[{"Name":"s","HealthPath":"/health"}],"Limits":{"MaxBodyBytes":100}}`

// applyDocument returns the table after a document.
func applyDocument(t *testing.T, base *Table, body string) *Table {
	t.Helper()
	change, err := base.Apply([]byte(body), Document)
	require.NoError(t, err)
	return change.Table
}

// applyPatch returns the table after a patch.
func applyPatch(t *testing.T, base *Table, body string) *Table {
	t.Helper()
	change, err := base.Apply([]byte(body), Patch)
	require.NoError(t, err)
	return change.Table
}

func TestDocumentRoundTrip(t *testing.T) {
	table := applyDocument(t, Empty(), sample)
	require.JSONEq(t, sample, string(table.Document()))
	require.EqualValues(t, 100, table.Limits().MaxBodyBytes)
}

func TestMatch(t *testing.T) {
	table := applyDocument(t, Empty(), sample)
	for _, c := range []struct{ name, host, path, want string }{
		{"longest prefix", "h.example", "/x/y/1", "a"},
		{"shorter prefix", "h.example", "/x/z", "b"},
		{"host with a port", "h.example:80", "/x/y/1", "a"},
		{"host in other letters", "H.EXAMPLE", "/x/y/1", "a"},
		{"other host", "other", "/x/z", ""},
		{"other path", "h.example", "/z", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			route := table.Match(c.host, c.path)
			if c.want == "" {
				require.Nil(t, route)
				return
			}
			require.NotNil(t, route)
			require.Equal(t, c.want, route.Name)
		})
	}
}

func TestPatch(t *testing.T) {
	table := applyDocument(t, Empty(), sample)
	table = applyPatch(t, table, `{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h.example","PathPrefix":"/c/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["a","none"]}}`)
	require.EqualValues(t, 9, table.Version)
	require.Equal(t, "b", table.Match("h.example", "/x/y/1").Name)
	require.Equal(t, "c", table.Match("h.example", "/c/1").Name)
	require.Regexp(t, `"b".*"c"`, string(table.Document()))
}

func TestInvalid(t *testing.T) {
	table := applyDocument(t, Empty(), sample)
	for _, c := range []struct {
		name, body string
		patch      bool
	}{
		{"cut short", sample[:100], false},
		{"no object", `[]`, false},
		{"a number that is none", `{"Version":6,"Odd":{"a":00}}`, false},
		{"a text that is none", `{"Version":6,"Odd":"\q"}`, false},
		{"no version", `{"Routes":[]}`, false},
		{"version not above", sample, false},
		{"fraction", strings.Replace(sample, `"Version":5`, `"Version":5.5`, 1), false},
		{"unknown service", strings.NewReplacer(`"Version":5`, `"Version":6`, `"Service":"s"`, `"Service":"t"`).Replace(sample), false},
		{"no time-out", strings.NewReplacer(`"Version":5`, `"Version":6`, `3000`, `0`).Replace(sample), false},
		{"same location", strings.NewReplacer(`"Version":5`, `"Version":6`, `/x/y/`, `/x/`).Replace(sample), false},
		{"name stands twice", strings.NewReplacer(`"Version":5`, `"Version":6`, `"Name":"a"`, `"Name":"b"`).Replace(sample), false},
		{"routes are no list", `{"Version":6,"Routes":{}}`, false},
		{"a service in use is removed", `{"Version":6,"Remove":{"Services":["s"]}}`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := table.Apply([]byte(c.body), c.patch)
			require.True(t, errors.Is(err, ErrInvalid), "%v", err)
		})
	}
}

func TestDeltasLeadToTheSame(t *testing.T) {
	table := applyDocument(t, Empty(), sample)
	versions := []*Table{Empty(), table}
	for i := range 20 {
		table = applyPatch(t, table, fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"n%d","Host":"h","PathPrefix":"/n%d/","TimeoutMs":%d,"Service":"s"}]},"Remove":{"Routes":["n%d"]}}`,
			10+3*i, i%7, i%7, i+1, (i+3)%7))
		versions = append(versions, table)
	}
	versions = append(versions, applyDocument(t, table, strings.Replace(sample, `"Version":5`, `"Version":99`, 1)))
	for _, from := range versions {
		for _, to := range versions {
			got, ok := from.ApplyDelta(to.DeltaSince(from.Version))
			require.True(t, ok, "from %d to %d", from.Version, to.Version)
			newest := to
			if from.Version > to.Version {
				newest = from
			}
			require.JSONEq(t, string(newest.Document()), string(got.Document()), "from %d to %d", from.Version, to.Version)
		}
	}
}

func TestWrongDeltaIsNoticed(t *testing.T) {
	table := applyDocument(t, Empty(), sample)
	delta := table.DeltaSince(0)
	delta.Digest++
	_, ok := Empty().ApplyDelta(delta)
	require.False(t, ok)
}

// TestRemovedItemsAreBounded adds and removes routes again and again: the table stays within its bound, and those who
// follow from any version get the same table.
func TestRemovedItemsAreBounded(t *testing.T) {
	table := applyDocument(t, Empty(), `{"Version":1,"Routes":[],"Services":[{"Name":"s"}]}`)
	early := table
	var middle *Table
	for n := 2; n < 2+2*maxTombstones; n++ {
		table = applyPatch(t, table, fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"r%d","Host":"h","PathPrefix":"/%d/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["r%d"]}}`, n, n, n, n-1))
		if n == 2+maxTombstones+maxTombstones/2 {
			middle = table
		}
	}
	require.LessOrEqual(t, len(table.items), maxTombstones+2)
	for _, c := range []struct {
		name string
		from *Table
	}{{"empty", Empty()}, {"before the horizon", early}, {"after the horizon", middle}, {"stored", Load(table.Record(), table.items)}} {
		t.Run(c.name, func(t *testing.T) {
			next, ok := c.from.ApplyDelta(table.DeltaSince(c.from.Version))
			require.True(t, ok)
			require.Equal(t, table.Digest, next.Digest)
			require.Equal(t, string(table.Document()), string(next.Document()))
		})
	}
}

// FuzzApply applies any body as a document and as a patch of one: it is refused, or the document of the resulting table
// leads to the same table.
func FuzzApply(f *testing.F) {
	f.Add([]byte(strings.Replace(sample, `"Version":5`, `"Version":6`, 1)), false)
	f.Add([]byte(`{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h.example","PathPrefix":"/c/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["a","none"]}}`), true)
	f.Add([]byte(`{"Version":18446744073709551616}`), false)
	f.Add([]byte(`{"Version":9,"Routes":[{}],"Services":[null],"Limits":[]}`), false)
	f.Add([]byte("{\"Version\":7,\"Upsert\":{\"Route\xb1.\xbe\xbc\\t\":[]}}"), true) // a name that was kept in a form that is no JSON
	f.Add([]byte(`{"Version":9,"Other":{"text":"\u0007"}}`), false)
	f.Fuzz(func(t *testing.T, body []byte, patch bool) {
		change, err := applyDocument(t, Empty(), sample).Apply(body, patch)
		if err != nil {
			require.True(t, errors.Is(err, ErrInvalid), "%v", err)
			return
		}
		again, err := Empty().Apply(change.Table.Document(), Document)
		require.NoError(t, err, "%s", change.Table.Document())
		require.JSONEq(t, string(change.Table.Document()), string(again.Table.Document()))
	})
}
