package jsonbody

import (
	"bytes"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/valyala/fastjson"
)

// Error explains why a text from outside the system is refused. Its message is returned to the
// sender.
type Error struct {
	// Field names the text: in a body by its JSON Pointer (RFC 6901), elsewhere by the part of the
	// request. It is empty for a body as a whole. For the name of a member it is that of the object.
	Field   string
	Problem string
}

// Error returns the field, if any, and the problem on one line.
func (e *Error) Error() string {
	if e.Field == "" {
		return e.Problem
	}
	return e.Field + ": " + e.Problem
}

// notUnicode is the problem of a text that can't be kept as it is.
const notUnicode = "the text is not Unicode: invalid UTF-8, or half of a surrogate pair"

// CheckText returns an *Error that names the field if a text from outside a body, such as a part of
// a path, is not valid UTF-8.
func CheckText(field, text string) error {
	if utf8.ValidString(text) {
		return nil
	}
	return &Error{Field: field, Problem: notUnicode}
}

// notJSON is the problem of a body that has the structure of JSON, but in which a number or a text has
// a form that JSON does not have.
const notJSON = "a number or a text in it is none"

// Parse parses a body. It returns an *Error if the body is not JSON, is nested too deeply, or holds a
// text that is not Unicode: bytes that are not UTF-8, or an escaped surrogate without its other half.
// Only the last is an error of one field. Each text of the returned value is valid UTF-8. What names
// that stand twice mean is left to the caller.
func Parse(body []byte) (*fastjson.Value, error) {
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, &Error{Problem: err.Error()}
	}
	if !jsontext.Value(body).IsValid(jsontext.AllowDuplicateNames(true)) {
		return nil, describe(body)
	}
	return v, nil
}

// describe returns the *Error of a body that fastjson has parsed, as it checks texts and numbers only
// in part, and that is not valid.
func describe(body []byte) error {
	duplicates := jsontext.AllowDuplicateNames(true)
	if !jsontext.Value(body).IsValid(duplicates, jsontext.AllowInvalidUTF8(true)) {
		return &Error{Problem: notJSON}
	}
	_, err := jsontext.NewDecoder(bytes.NewReader(body), duplicates).ReadValue()
	var syntactic *jsontext.SyntacticError
	if !errors.As(err, &syntactic) {
		return &Error{Problem: notJSON}
	}
	return &Error{Field: string(syntactic.JSONPointer), Problem: notUnicode}
}
