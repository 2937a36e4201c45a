package jsonbody

import (
	"github.com/go-json-experiment/json/jsontext"
	"github.com/valyala/fastjson"
)

// AppendString appends a text as a JSON string and returns the extended buffer. Bytes that are not
// UTF-8 are replaced by U+FFFD.
func AppendString(out []byte, text string) []byte {
	out, _ = jsontext.AppendQuote(out, text) // the error only reports that bytes were replaced
	return out
}

// AppendValue appends a parsed value as JSON without white space and returns the extended buffer.
// Numbers keep the form in which they were written, and the members of objects their order. Bytes
// of texts that are not UTF-8 are replaced by U+FFFD.
func AppendValue(out []byte, v *fastjson.Value) []byte {
	switch v.Type() {
	case fastjson.TypeObject:
		return appendObject(out, v.GetObject())
	case fastjson.TypeArray:
		return appendArray(out, v.GetArray())
	case fastjson.TypeString:
		return AppendString(out, string(v.GetStringBytes()))
	default:
		return v.MarshalTo(out)
	}
}

// appendObject appends an object.
func appendObject(out []byte, object *fastjson.Object) []byte {
	out = append(out, '{')
	first := true
	object.Visit(func(name []byte, member *fastjson.Value) {
		if !first {
			out = append(out, ',')
		}
		first = false
		out = AppendString(out, string(name))
		out = append(out, ':')
		out = AppendValue(out, member)
	})
	return append(out, '}')
}

// appendArray appends an array.
func appendArray(out []byte, elements []*fastjson.Value) []byte {
	out = append(out, '[')
	for i, element := range elements {
		if i > 0 {
			out = append(out, ',')
		}
		out = AppendValue(out, element)
	}
	return append(out, ']')
}
