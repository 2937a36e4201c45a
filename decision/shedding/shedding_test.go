package shedding

import "testing"

// TestRejectFraction checks that late starts lead to rejections, of less valuable work first and of maxFraction at most,
// and that rejections end once requests start on time.
func TestRejectFraction(t *testing.T) {
	var s Shedder
	for range 64 { // two kinds of requests with equal work, one of three times the value of the other
		s.RejectFraction(1, 1)
		s.RejectFraction(3, 1)
	}
	if got := s.RejectFraction(1, 1); got > 0 {
		t.Errorf("the fraction %g is rejected while no request starts late, want 0", got)
	}
	for range 5 {
		s.RecordStart(Overdue)
	}
	if low, high := s.RejectFraction(1, 1), s.RejectFraction(3, 1); low <= 0 || high > 0 {
		t.Errorf("%g of less valuable and %g of more valuable work are rejected, want only less valuable work", low, high)
	}
	for range 100 {
		s.RecordStart(Overdue)
	}
	if low, high := s.RejectFraction(1, 1), s.RejectFraction(3, 1); low != maxFraction || high != maxFraction {
		t.Errorf("%g of less valuable and %g of more valuable work are rejected after 100 late starts, want %g of each", low, high, maxFraction)
	}
	for range 100 {
		s.RecordStart(OnTime)
	}
	if got := s.RejectFraction(1, 1); got > 0 {
		t.Errorf("the fraction %g is rejected after 100 starts on time, want 0", got)
	}
}
