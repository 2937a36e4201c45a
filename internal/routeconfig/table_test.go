package routeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"frosttide/internal/protocol"
)

const testDocument = `{"Version":5,"Routes":[{"Name":"b","Host":"H.example","PathPrefix":"/x/","TimeoutMs":3000,"Service":"s","MaxAttempts":2,"Odd":[1]},` +
	`{"Name":"a","Host":"h.example","PathPrefix":"/x/y/","TimeoutMs":3000,"Service":"s"}],"Services":[{"Name":"s","HealthPath":"/health"}],"Limits":{"MaxBodyBytes":100}}`

// applyDocument returns the table that results from applying a document to a base table.
func applyDocument(t *testing.T, base *Table, body string) *Table {
	t.Helper()
	change, err := base.Apply([]byte(body), Document)
	require.NoError(t, err)
	return change.Table
}

// applyPatch returns the table that results from applying a patch to a base table.
func applyPatch(t *testing.T, base *Table, body string) *Table {
	t.Helper()
	change, err := base.Apply([]byte(body), Patch)
	require.NoError(t, err)
	return change.Table
}

// TestDocumentRoundTrip checks that Document returns what was applied, including unknown members.
func TestDocumentRoundTrip(t *testing.T) {
	table := applyDocument(t, Empty(), testDocument)
	require.JSONEq(t, testDocument, string(table.Document()))
	require.EqualValues(t, 100, table.Limits().MaxBodyBytes)
}

// TestDocumentKeepsEachText guards against a configuration that is refused, or reads back altered,
// because of texts that Go quotes with escapes that JSON does not have.
func TestDocumentKeepsEachText(t *testing.T) {
	const text = `\"\ud83c\udff4\udb40\udc67\udb40\udc62\u0007\u007f\\ \u2028`
	body := `{"Version":6,"Routes":[{"Name":"r` + text + `","Host":"h` + text + `","PathPrefix":"/` + text + `/","TimeoutMs":3000,"Service":"s` + text + `","Title":{"` + text + `":["` + text + `"]}}],` +
		`"Services":[{"Name":"s` + text + `"}],"Other` + text + `":"` + text + `"}`
	table := applyDocument(t, Empty(), body)
	require.JSONEq(t, body, string(table.Document()))
	require.Equal(t, table.Document(), applyDocument(t, Empty(), string(table.Document())).Document())
}

// TestDocumentOfStoredItems checks that a document is JSON even if an earlier version of the program
// has stored items that are none: texts that were not UTF-8, and escapes of Go.
func TestDocumentOfStoredItems(t *testing.T) {
	table := Load(&protocol.ConfigRecord{Version: 3, Order: 4}, map[string]*protocol.ConfigItem{
		"route/a":      {Position: 1, Version: 3, Json: []byte(`{"Name":"a","Host":"h` + "\xf3" + `"}`)},
		"route/b":      {Position: 2, Version: 3, Json: []byte(`{"Name":"b","Title":"\U000e0067\""}`)},
		"route/c":      {Position: 3, Version: 3, Json: []byte(`{"Name":`)},
		"service/s":    {Position: 4, Version: 3, Json: []byte(`{"Name":"s"}`)},
		"member/Other": {Version: 3, Json: []byte(`"\a"`)},
	})
	require.JSONEq(t, `{"Version":3,"Routes":[{"Name":"a","Host":"h`+"\ufffd"+`"},{"Name":"b","Title":"\\U000e0067\""}],"Services":[{"Name":"s"}],"Other":"\\a"}`, string(table.Document()))
}

func TestMatch(t *testing.T) {
	table := applyDocument(t, Empty(), testDocument)
	for _, c := range []struct{ name, host, path, want string }{
		{"longest prefix", "h.example", "/x/y/1", "a"},
		{"shorter prefix", "h.example", "/x/z", "b"},
		{"host with a port", "h.example:80", "/x/y/1", "a"},
		{"host in other case", "H.EXAMPLE", "/x/y/1", "a"},
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

// TestPatch checks that a patch sets and removes routes, keeps their order, and ignores the
// removal of a route that does not exist.
func TestPatch(t *testing.T) {
	table := applyDocument(t, Empty(), testDocument)
	table = applyPatch(t, table, `{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h.example","PathPrefix":"/c/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["a","none"]}}`)
	require.EqualValues(t, 9, table.Version)
	require.Equal(t, "b", table.Match("h.example", "/x/y/1").Name)
	require.Equal(t, "c", table.Match("h.example", "/c/1").Name)
	require.Regexp(t, `"b".*"c"`, string(table.Document()))
}

// TestApplyRejectsInvalid checks that Apply marks the errors of invalid documents and patches
// with ErrInvalid.
func TestApplyRejectsInvalid(t *testing.T) {
	table := applyDocument(t, Empty(), testDocument)
	for _, c := range []struct {
		name, body string
		patch      bool
	}{
		{"truncated", testDocument[:100], false},
		{"not an object", `[]`, false},
		{"malformed number", `{"Version":6,"Odd":{"a":00}}`, false},
		{"malformed string", `{"Version":6,"Odd":"\q"}`, false},
		{"no version", `{"Routes":[]}`, false},
		{"version not greater", testDocument, false},
		{"fraction", strings.Replace(testDocument, `"Version":5`, `"Version":5.5`, 1), false},
		{"unknown service", strings.NewReplacer(`"Version":5`, `"Version":6`, `"Service":"s"`, `"Service":"t"`).Replace(testDocument), false},
		{"zero timeout", strings.NewReplacer(`"Version":5`, `"Version":6`, `3000`, `0`).Replace(testDocument), false},
		{"same location", strings.NewReplacer(`"Version":5`, `"Version":6`, `/x/y/`, `/x/`).Replace(testDocument), false},
		{"duplicate name", strings.NewReplacer(`"Version":5`, `"Version":6`, `"Name":"a"`, `"Name":"b"`).Replace(testDocument), false},
		{"routes not a list", `{"Version":6,"Routes":{}}`, false},
		{"removal of a service in use", `{"Version":6,"Remove":{"Services":["s"]}}`, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := table.Apply([]byte(c.body), c.patch)
			require.True(t, errors.Is(err, ErrInvalid), "%v", err)
		})
	}
}

// TestApplyNamesText guards against a configuration whose texts can't be stored or read back: the
// order is refused, and the operator is told which text it is.
func TestApplyNamesText(t *testing.T) {
	const bad = "repetici\xf3n"
	for _, c := range []struct {
		name, body string
		patch      bool
		want       string
	}{
		{"name of a route", `{"Version":6,"Routes":[{"Name":"` + bad + `"}]}`, Document, "/Routes/0/Name: the text is not Unicode"},
		{"name of a service", `{"Version":6,"Services":[{"Name":"s"},{"Name":"` + bad + `"}]}`, Document, "/Services/1/Name: the text is not Unicode"},
		{"text that is no name", `{"Version":6,"Limits":{"Note":"` + bad + `"}}`, Document, "/Limits/Note: the text is not Unicode"},
		{"name of a member", `{"Version":6,"Limits":{"` + bad + `":1}}`, Document, "/Limits: the text is not Unicode"},
		{"item to add", `{"Version":6,"Upsert":{"Routes":[{"Name":"` + bad + `"}]}}`, Patch, "/Upsert/Routes/0/Name: the text is not Unicode"},
		{"item to remove", `{"Version":6,"Remove":{"Routes":["` + bad + `"]}}`, Patch, "/Remove/Routes/0: the text is not Unicode"},
		{"surrogate without its other half", `{"Version":6,"Routes":[{"Name":"repetici\udcf3n"}]}`, Document, "/Routes/0/Name: the text is not Unicode"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := applyDocument(t, Empty(), testDocument).Apply([]byte(c.body), c.patch)
			require.True(t, errors.Is(err, ErrInvalid), "%v", err)
			require.ErrorContains(t, err, c.want)
		})
	}
}

// TestDeltasReproduceTable checks that the delta between any two versions reproduces the newer
// table, and that a delta to an older version has no effect.
func TestDeltasReproduceTable(t *testing.T) {
	table := applyDocument(t, Empty(), testDocument)
	versions := []*Table{Empty(), table}
	for i := range 20 {
		table = applyPatch(t, table, fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"n%d","Host":"h","PathPrefix":"/n%d/","TimeoutMs":%d,"Service":"s"}]},"Remove":{"Routes":["n%d"]}}`,
			10+3*i, i%7, i%7, i+1, (i+3)%7))
		versions = append(versions, table)
	}
	versions = append(versions, applyDocument(t, table, strings.Replace(testDocument, `"Version":5`, `"Version":99`, 1)))
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

// TestApplyDeltaRejectsWrongDigest checks that a delta is rejected whose result does not match
// its digest.
func TestApplyDeltaRejectsWrongDigest(t *testing.T) {
	table := applyDocument(t, Empty(), testDocument)
	delta := table.DeltaSince(0)
	delta.Digest++
	_, ok := Empty().ApplyDelta(delta)
	require.False(t, ok)
}

// TestRemovedItemsAreBounded adds and removes routes many times and checks that the table keeps
// at most maxTombstones tombstones, and that followers of any version reproduce the same table by
// a delta.
func TestRemovedItemsAreBounded(t *testing.T) {
	table := applyDocument(t, Empty(), `{"Version":1,"Routes":[],"Services":[{"Name":"s"}]}`)
	beforeHorizon := table
	var afterHorizon *Table
	for n := 2; n < 2+2*maxTombstones; n++ {
		table = applyPatch(t, table, fmt.Sprintf(`{"Version":%d,"Upsert":{"Routes":[{"Name":"r%d","Host":"h","PathPrefix":"/%d/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["r%d"]}}`, n, n, n, n-1))
		if n == 2+maxTombstones+maxTombstones/2 {
			afterHorizon = table
		}
	}
	require.LessOrEqual(t, len(table.items), maxTombstones+2)
	for _, c := range []struct {
		name string
		from *Table
	}{{"empty", Empty()}, {"before the horizon", beforeHorizon}, {"after the horizon", afterHorizon}, {"stored", Load(table.Record(), table.items)}} {
		t.Run(c.name, func(t *testing.T) {
			next, ok := c.from.ApplyDelta(table.DeltaSince(c.from.Version))
			require.True(t, ok)
			require.Equal(t, table.Digest, next.Digest)
			require.Equal(t, string(table.Document()), string(next.Document()))
		})
	}
}

// decodeWithoutDuplicates decodes a document as any reader of JSON does. It returns false if a name
// stands twice in an object, as readers differ on which of the two counts.
func decodeWithoutDuplicates(t *testing.T, body []byte) (map[string]any, bool) {
	t.Helper()
	if !jsontext.Value(body).IsValid() {
		return nil, false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var document map[string]any
	require.NoError(t, decoder.Decode(&document))
	for _, list := range []string{routesMember, servicesMember} {
		if document[list] == nil {
			document[list] = []any{}
		}
	}
	return document, true
}

// requireReadsBack checks that the document of a table equals the body that was applied.
func requireReadsBack(t *testing.T, body []byte, table *Table) {
	t.Helper()
	want, unambiguous := decodeWithoutDuplicates(t, body)
	if !unambiguous {
		return
	}
	got, unambiguous := decodeWithoutDuplicates(t, table.Document())
	require.True(t, unambiguous, "%s", table.Document())
	require.Equal(t, want, got)
}

// FuzzApply checks that Apply either rejects a body with ErrInvalid or leads to a table whose
// Document equals the body, if that is a document, and, applied to an empty table, reproduces the
// same configuration. What changes has to be encodable for the disk and for other processes.
func FuzzApply(f *testing.F) {
	f.Add([]byte(strings.Replace(testDocument, `"Version":5`, `"Version":6`, 1)), false)
	f.Add([]byte(`{"Version":9,"Upsert":{"Routes":[{"Name":"c","Host":"h.example","PathPrefix":"/c/","TimeoutMs":1,"Service":"s"}]},"Remove":{"Routes":["a","none"]}}`), true)
	f.Add([]byte(`{"Version":18446744073709551616}`), false)
	f.Add([]byte(`{"Version":9,"Routes":[{}],"Services":[null],"Limits":[]}`), false)
	// A member name that was stored as invalid JSON.
	f.Add([]byte("{\"Version\":7,\"Upsert\":{\"Route\xb1.\xbe\xbc\\t\":[]}}"), true)
	f.Add([]byte(`{"Version":9,"Other":{"text":"\u0007"}}`), false)
	f.Add([]byte(`{"Version":9,"Routes":[],"Services":[{"Name":"\"\udb40\udc67"}],"\"\udb40\udc67":[1.0,"\"\udb40\udc67"]}`), false)
	f.Add([]byte(`{"Version":9,"Upsert":{"Version":7,"Other":1}}`), true)
	f.Add([]byte(`{"Version":9,"Services":[{"Name":"repetici`+"\xf3"+`n"}]}`), false)
	f.Add([]byte(`{"Version":9,"Remove":{"Routes":["`+"\xf3"+`"]}}`), true)
	f.Add([]byte(`{"Version":9,"Limits":{"Note":"repetici`+"\xf3"+`n \udcf3"}}`), false)
	f.Fuzz(func(t *testing.T, body []byte, patch bool) {
		change, err := applyDocument(t, Empty(), testDocument).Apply(body, patch)
		if err != nil {
			require.True(t, errors.Is(err, ErrInvalid), "%v", err)
			return
		}
		for key, item := range change.Items {
			_, err := proto.Marshal(&protocol.NamedItem{Key: key, Item: item})
			require.NoError(t, err, "%q", key)
		}
		if !patch {
			requireReadsBack(t, body, change.Table)
		}
		reapplied, err := Empty().Apply(change.Table.Document(), Document)
		require.NoError(t, err, "%s", change.Table.Document())
		require.JSONEq(t, string(change.Table.Document()), string(reapplied.Table.Document()))
	})
}

// TestTableIsBounded guards against a configuration that updates make larger than any message between processes may be.
func TestTableIsBounded(t *testing.T) {
	table := Empty()
	update := func(version uint64, name string) error {
		body := fmt.Appendf(nil, `{"Version":%d,"Upsert":{"Services":[{"Name":"%s","Note":"%s"}]}}`, version, name, strings.Repeat("x", 10<<20))
		change, err := table.Apply(body, Patch)
		if err == nil {
			table = change.Table
		}
		return err
	}
	require.NoError(t, update(1, "a"))
	require.NoError(t, update(2, "b"))
	require.True(t, errors.Is(update(3, "c"), ErrInvalid))
	require.NoError(t, update(3, "b"), "an update that makes it no larger")
}
