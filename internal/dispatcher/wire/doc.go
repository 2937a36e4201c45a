// Package wire speaks the binary protocol of the bench (lbsim) and reads its settings: it decodes frames of events into
// those of package decision, encodes actions, and maps the settings text to a decision.Config. cmd/adapter uses all of
// it; the dispatcher on sockets reads its settings with ParseSettings and ParseNames. It decides nothing.
//
// All integers of the protocol are little-endian. Whatever a frame holds, decoding ends with an error that names the
// fault, never with a panic, and memory grows with the bytes that have arrived, not with the lengths that they state.
// Names of codes and of settings are those of the bench's pages. A Decoder and a Reply are not safe for concurrent use.
package wire
