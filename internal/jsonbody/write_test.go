package jsonbody

import (
	"encoding/json"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fastjson"
)

// unusualTexts are texts that Go and JSON quote differently, or that encoders often get wrong.
var unusualTexts = []string{
	"",
	"plain",
	`quotes " and \ backslashes`,
	"control characters \x00\a\b\t\n\v\f\r\x1b\x1f\x7f",
	"\"\U0001f3f4\U000e0067\U000e0062\U000e0065\U000e006e\U000e0067\U000e007f\"", // the flag of England
	"\"line and paragraph separators \u2028\u2029\"",
	"\"not printable \u00ad\u200d\ufeff\U000e0001\U0010fffd\"",
	"<script>&amp;</script>",
}

// TestAppendString guards against texts that no JSON parser can read: an independent decoder has to
// read back each text unchanged.
func TestAppendString(t *testing.T) {
	for _, text := range unusualTexts {
		var got string
		encoded := AppendString([]byte(nil), text)
		require.NoError(t, json.Unmarshal(encoded, &got), "%s", encoded)
		require.Equal(t, text, got)
	}
	require.Equal(t, `"not UTF-8: `+"\ufffd"+`"`, string(AppendString(nil, "not UTF-8: \xf3")))
}

// FuzzAppendString checks that each text is written as JSON that an independent decoder reads back
// equal, apart from bytes that are not UTF-8.
func FuzzAppendString(f *testing.F) {
	for _, text := range unusualTexts {
		f.Add(text)
	}
	f.Add("\xf3\"")
	f.Fuzz(func(t *testing.T, text string) {
		var got string
		encoded := AppendString(nil, text)
		require.NoError(t, json.Unmarshal(encoded, &got), "%s", encoded)
		if utf8.ValidString(text) {
			require.Equal(t, text, got)
		}
	})
}

// TestAppendValue checks that a value is written as it was read: the order of members, the form of
// numbers, and texts.
func TestAppendValue(t *testing.T) {
	for _, body := range []string{
		`null`, `true`, `[]`, `{}`, `-1.50e+3`, `18446744073709551616`,
		`{"b":[1,{"a":"\"\u0007\ud83c\udff4\udb40\udc67"}],"a":[[],null],"\udb40\udc67\"":false}`,
	} {
		v, err := fastjson.Parse(body)
		require.NoError(t, err)
		require.JSONEq(t, body, string(AppendValue(nil, v)))
	}
	v, err := fastjson.Parse(` { "b" : [ 1.0, 2 ], "a" : "x" } `)
	require.NoError(t, err)
	require.Equal(t, `{"b":[1.0,2],"a":"x"}`, string(AppendValue(nil, v)))
	long := strings.Repeat("x", 10_000) + "\"\a"
	var got string
	require.NoError(t, json.Unmarshal(AppendString(nil, long), &got))
	require.Equal(t, long, got)
}
