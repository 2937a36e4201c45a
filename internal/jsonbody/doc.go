// Package jsonbody reads and writes the JSON of the scheduler's HTTP interfaces, and holds the rule
// which texts may enter the system.
//
// Reading: Parse takes a body only if it is JSON (RFC 8259) and all its texts are Unicode, and
// CheckText does the same for texts outside bodies, such as parts of a path. Everything behind these
// two may rely on it: such a text can become a string of a protocol message or a key of the store,
// which protobuf encodes only if it is valid UTF-8, and can be written as JSON again unchanged. A text
// that is refused gives an *Error that names it.
//
// Writing: AppendString and AppendValue use the escapes that JSON defines. fastjson's own MarshalTo
// quotes some texts as Go does, with escapes such as \x7f, \a and \U000e0067 that no JSON parser
// reads; the scheduler must not use it for texts.
//
// All functions are pure and safe for concurrent use.
package jsonbody
