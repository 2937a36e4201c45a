// Package wire implements the binary protocol of the test bench lbsim and parses the start-up
// settings of a dispatcher. It decodes frames of events into those of package decision, encodes
// actions, and converts the settings, which are JSON, to a decision.Config. It makes no decisions
// about requests. cmd/adapter uses all of it; the dispatcher that serves on sockets uses only
// ParseSettings and ParseNames.
//
// All integers of the protocol are little-endian. Malformed input of any kind ends decoding with an
// error that describes the fault, never with a panic. Memory use grows with the bytes received, not
// with the lengths that they announce. The JSON keys of the settings are those that lbsim defines.
//
// A Decoder and a Reply are not safe for concurrent use.
package wire
