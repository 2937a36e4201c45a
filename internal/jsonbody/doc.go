// Package jsonbody writes the JSON of the scheduler's HTTP interfaces.
//
// It writes values that fastjson has parsed, and texts, with the escapes that JSON defines (RFC
// 8259, section 7). fastjson's own MarshalTo quotes some texts as Go does, with escapes such as
// \x7f, \a and \U000e0067 that no JSON parser reads; the scheduler must not use it for texts.
//
// All functions are pure and safe for concurrent use.
package jsonbody
