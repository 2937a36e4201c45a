package jsonbody

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// TestParseRefuses checks that a body which can't be kept as it is, is refused with an error that
// names the text at fault.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct{ name, body, wantField, wantProblem string }{
		{"text in ISO 8859-1", `{"Routes":[{},{"Name":"repetici` + "\xf3" + `n"}]}`, "/Routes/1/Name", notUnicode},
		{"member name in ISO 8859-1", `{"a":{"repetici` + "\xf3" + `n":1}}`, "/a", notUnicode},
		{"overlong form", `["` + "\xc0\xaf" + `"]`, "/0", notUnicode},
		{"surrogate in UTF-8", `["` + "\xed\xa0\x80" + `"]`, "/0", notUnicode},
		{"text cut within a character", `["` + "\xc3" + `"]`, "/0", notUnicode},
		{"surrogate without its other half", `{"Spec":"repetici\udcf3n"}`, "/Spec", notUnicode},
		{"surrogate before another character", `{"Spec":"\ud83cx"}`, "/Spec", notUnicode},
		{"surrogates in the wrong order", `{"Spec":"\udff4\ud83c"}`, "/Spec", notUnicode},
		{"control character", "[\"\a\"]", "", notJSON},
		{"escape of Go", `["\x7f"]`, "", notJSON},
		{"malformed number", `{"a":01}`, "", notJSON},
		{"malformed number before a text in ISO 8859-1", `{"a":01,"b":"` + "\xf3" + `"}`, "", notJSON},
		{"empty body", ``, "", "cannot parse"},
		{"truncated", `{"a":1`, "", "cannot parse object"},
		{"two values", `{} {}`, "", "tail"},
		{"nested too deeply", strings.Repeat("[", 1000) + strings.Repeat("]", 1000), "", "depth"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.body))
			var refused *Error
			require.True(t, errors.As(err, &refused), "%v", err)
			require.Equal(t, c.wantField, refused.Field)
			require.Contains(t, refused.Problem, c.wantProblem)
		})
	}
}

// TestCheckText checks that only valid UTF-8 passes, and that the error names the field.
func TestCheckText(t *testing.T) {
	require.NoError(t, CheckText("path", "repetición"))
	require.NoError(t, CheckText("path", ""))
	require.EqualError(t, CheckText("path", "repetici\xf3n"), "path: "+notUnicode)
}

// requireTexts checks that all texts of a value are valid UTF-8.
func requireTexts(t *testing.T, v *fastjson.Value) {
	t.Helper()
	switch v.Type() {
	case fastjson.TypeObject:
		v.GetObject().Visit(func(name []byte, member *fastjson.Value) {
			require.True(t, utf8.Valid(name), "%q", name)
			requireTexts(t, member)
		})
	case fastjson.TypeArray:
		for _, element := range v.GetArray() {
			requireTexts(t, element)
		}
	case fastjson.TypeString:
		require.True(t, utf8.Valid(v.GetStringBytes()), "%q", v.GetStringBytes())
	default:
	}
}

// decode decodes a body by means that are independent of this package. Numbers keep their form.
func decode(t *testing.T, body []byte) (value any) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	require.NoError(t, decoder.Decode(&value), "%s", body)
	return value
}

// FuzzParse checks that a body is either refused with an *Error or has only texts that are valid
// UTF-8, and reads back equal when it is written again; an independent decoder compares the two.
func FuzzParse(f *testing.F) {
	for _, text := range unusualTexts {
		f.Add(AppendString([]byte(`{"Spec":`), text))
		f.Add(append(AppendString([]byte(`{"Spec":`), text), '}'))
	}
	f.Add([]byte(`{"Routes":[{"Name":"repetici` + "\xf3" + `n"}]}`))
	f.Add([]byte(`{"a":"\ud83c\udff4\udb40\udc67","b":"\ud83c","b":[1e3,-0,null,true]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		v, err := Parse(body)
		if err != nil {
			var refused *Error
			require.True(t, errors.As(err, &refused), "%v", err)
			require.True(t, utf8.ValidString(refused.Field), "%q", refused.Field)
			return
		}
		requireTexts(t, v)
		require.Equal(t, decode(t, body), decode(t, AppendValue(nil, v)))
	})
}
