package otlp

import (
	"bytes"
	"testing"
)

// TestMarshalOwns guards a message that is sent again: whoever is given its text may do with
// it what he likes. Without a copy a batch that a collector had turned away came garbled the
// next time.
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
