package shedding

import "testing"

// TestShare has late starts lead to shedding, lesser work first, of no class all, and an end
// of it once starts come in time.
func TestShare(t *testing.T) {
	var s Shedder
	for range 64 { // of two kinds of equal length one is worth three times the other
		s.Share(1, 1)
		s.Share(3, 1)
	}
	if got := s.Share(1, 1); got > 0 {
		t.Errorf("%g is shed while nothing is late", got)
	}
	for range 5 {
		s.Note(true)
	}
	if low, high := s.Share(1, 1), s.Share(3, 1); low <= 0 || high > 0 {
		t.Errorf("%g of lesser and %g of better work are shed, want the lesser first", low, high)
	}
	for range 100 {
		s.Note(true)
	}
	if low, high := s.Share(1, 1), s.Share(3, 1); low != most || high != most {
		t.Errorf("%g of lesser and %g of better work are shed at worst, want %g of each", low, high, most)
	}
	for range 100 {
		s.Note(false)
	}
	if got := s.Share(1, 1); got > 0 {
		t.Errorf("%g is still shed", got)
	}
}
