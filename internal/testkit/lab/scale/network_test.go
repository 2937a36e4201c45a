package scale

import "testing"

// TestHoldNetwork guards against two runs that reserve the same network, also after another has
// been released.
func TestHoldNetwork(t *testing.T) {
	first, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	second, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	if first.Number == second.Number {
		t.Errorf("two runs reserved network 127.%d", first.Number)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	third, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	if third.Number == second.Number {
		t.Errorf("got network 127.%d while another run had it reserved", third.Number)
	}
}
