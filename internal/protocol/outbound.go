package protocol

// Outbound is a message that a state machine asks its host to send to the process at an internal
// address. The state machine must not modify the message afterwards, and delivery is not
// guaranteed.
type Outbound struct {
	To      string // internal address, host:port
	Message *Envelope
}
