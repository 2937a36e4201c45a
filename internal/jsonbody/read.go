package jsonbody

import (
	"bytes"
	"io"
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

// notUnicode is the problem of a text outside a body that CheckText refuses.
const notUnicode = "invalid UTF-8"

// CheckText returns an *Error that names the field if a text from outside a body, such as a part of
// a path, is not valid UTF-8.
func CheckText(field, text string) error {
	if utf8.ValidString(text) {
		return nil
	}
	return &Error{Field: field, Problem: notUnicode}
}

// readOptions are those of RFC 8259. That duplicate names are allowed leaves to the callers what
// they mean.
var readOptions = jsontext.AllowDuplicateNames(true)

// Parse parses a body. It returns an *Error if the body is not JSON, is nested too deeply, or holds a
// text that is not Unicode: bytes that are not UTF-8, or an escaped surrogate without its other half.
// Each text of the returned value is valid UTF-8.
func Parse(body []byte) (*fastjson.Value, error) {
	if !jsontext.Value(body).IsValid(readOptions) {
		return nil, describe(body)
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return nil, &Error{Problem: err.Error()}
	}
	return v, nil
}

// errTrailing is the problem of a body with more than one value.
var errTrailing = errors.New("there is more than one value")

// describe returns the *Error of a body that is not valid.
func describe(body []byte) error {
	err := readOnlyValue(jsontext.NewDecoder(bytes.NewReader(body), readOptions))
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return &Error{Field: string(syntactic.JSONPointer), Problem: syntactic.Err.Error()}
	}
	return &Error{Problem: err.Error()}
}

// readOnlyValue reads the only value of the input. It returns the reason if there is not exactly one.
func readOnlyValue(decoder *jsontext.Decoder) error {
	if _, err := decoder.ReadValue(); err != nil {
		return err
	}
	_, err := decoder.ReadToken()
	switch {
	case err == nil:
		return errTrailing
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}
