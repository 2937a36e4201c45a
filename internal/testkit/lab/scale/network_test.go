package scale

import "testing"

// TestHoldNetwork has runs that begin at the same moment hold networks of their own.
func TestHoldNetwork(t *testing.T) {
	first, err := holdNetwork()
	if err != nil {
		t.Fatal(err)
	}
	second, err := holdNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if first.Number == second.Number {
		t.Errorf("two runs hold network 127.%d", first.Number)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	third, err := holdNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	if third.Number == second.Number {
		t.Errorf("a run was given network 127.%d while another held it", third.Number)
	}
}
