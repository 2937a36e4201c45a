package otlp

import (
	"bytes"
	"testing"
)

// TestMarshalOwns has a message that is sent again not change when the library overwrites the buffer of the first call.
// Without a copy a batch that a collector had rejected arrived garbled the next time.
func TestMarshalOwns(t *testing.T) {
	m := &Message{Bytes: []byte("spans")}
	text, err := Codec{}.Marshal(m)
	if err != nil || !bytes.Equal(text, m.Bytes) {
		t.Fatalf("%q, %v", text, err)
	}
	copy(text, "xxxxx")
	if string(m.Bytes) != "spans" {
		t.Errorf("the message is %q after its text was written over", m.Bytes)
	}
	var got Message
	if err := (Codec{}).Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	copy(text, "yyyyy")
	if string(got.Bytes) != "xxxxx" {
		t.Errorf("the message read is %q after its text was written over", got.Bytes)
	}
}
