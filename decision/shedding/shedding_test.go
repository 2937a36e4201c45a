package shedding

import "testing"

// TestRejectFraction checks that late starts lead to rejections, of less valuable work first and of no class
// all, and that these end once starts are on time.
func TestRejectFraction(t *testing.T) {
	var s Shedder
	for range 64 { // of two kinds of equal length one is worth three times the other
		s.RejectFraction(1, 1)
		s.RejectFraction(3, 1)
	}
	if got := s.RejectFraction(1, 1); got > 0 {
		t.Errorf("%g is rejected while nothing is late", got)
	}
	for range 5 {
		s.RecordStart(Overdue)
	}
	if low, high := s.RejectFraction(1, 1), s.RejectFraction(3, 1); low <= 0 || high > 0 {
		t.Errorf("%g of lesser and %g of better work are rejected, want the lesser first", low, high)
	}
	for range 100 {
		s.RecordStart(Overdue)
	}
	if low, high := s.RejectFraction(1, 1), s.RejectFraction(3, 1); low != maxFraction || high != maxFraction {
		t.Errorf("%g of lesser and %g of better work are rejected at worst, want %g of each", low, high, maxFraction)
	}
	for range 100 {
		s.RecordStart(OnTime)
	}
	if got := s.RejectFraction(1, 1); got > 0 {
		t.Errorf("%g is still rejected", got)
	}
}
