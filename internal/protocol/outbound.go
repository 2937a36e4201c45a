package protocol

// Outbound is a message that a state machine wants sent to the process at an internal address. Its sender does not
// change the message any more, and its delivery is not certain.
type Outbound struct {
	To      string // internal address, host:port
	Message *Envelope
}
