package otlp

import (
	"bytes"
	"testing"
)

// TestMarshalOwns checks that a message does not change when the library overwrites the buffer of
// its first call. Without a copy, a batch that a collector had rejected arrived corrupted at the
// next try.
func TestMarshalOwns(t *testing.T) {
	message := &Message{Bytes: []byte("spans")}
	encoded, err := Codec{}.Marshal(message)
	if err != nil || !bytes.Equal(encoded, message.Bytes) {
		t.Fatalf("got %q, %v", encoded, err)
	}
	copy(encoded, "xxxxx")
	if string(message.Bytes) != "spans" {
		t.Errorf("the message is %q after the encoded buffer was overwritten", message.Bytes)
	}
	var decoded Message
	if err := (Codec{}).Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	copy(encoded, "yyyyy")
	if string(decoded.Bytes) != "xxxxx" {
		t.Errorf("the decoded message is %q after the encoded buffer was overwritten", decoded.Bytes)
	}
}
