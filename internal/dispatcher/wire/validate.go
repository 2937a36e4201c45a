package wire

import (
	"errors"
	"fmt"
	"slices"
)

const (
	// maxMicros is the largest time that a setting may have, in microseconds. Sums of larger times
	// could overflow.
	maxMicros = int64(1) << 50
	// maxDispatchers is the maximum number of dispatchers that share a fleet, far above the
	// intended sizes.
	maxDispatchers = 1 << 16
)

// boundedKey is a setting that holds a time or a count.
type boundedKey struct {
	key   string
	value int64
}

// checkBounds returns an error that names the first key whose value is negative or above maxMicros.
func checkBounds(keys []boundedKey) error {
	for _, k := range keys {
		if k.value < 0 || k.value > maxMicros {
			return fmt.Errorf("%s: %d is out of range", k.key, k.value)
		}
	}
	return nil
}

// check returns an error, which begins with the key, for the first invalid setting.
func (s *settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("request-classes: there are none")
	}
	if err := s.checkTimes(); err != nil {
		return err
	}
	if err := s.checkDispatchers(); err != nil {
		return err
	}
	if !slices.Contains([]string{"", "none", "on_request", "pushed"}, s.Discovery) {
		return fmt.Errorf("discovery: %q is neither on_request nor pushed", s.Discovery)
	}
	if !slices.Contains([]string{"", "none", "answers", "probe"}, s.Report.Source) {
		return fmt.Errorf("report.source: %q is none of answers, probe and none", s.Report.Source)
	}
	return s.checkRatiosAndClasses()
}

// checkTimes checks the bounds of the times and counts outside the classes.
func (s *settings) checkTimes() error {
	return checkBounds([]boundedKey{
		{"quantum", s.Quantum},
		{"policy-limits.max-retry-after", s.Limits.MaxRetryAfter},
		{"policy-limits.connect-timeout", s.Limits.ConnectTimeout},
		{"policy-limits.keepalive", s.Limits.Keepalive},
		{"policy-limits.send-cap", s.Limits.SendCap},
		{"rules.drain-grace", s.Rules.DrainGrace},
		{"rules.warm-within", s.Rules.WarmWithin},
		{"rules.fall", s.Rules.Fall},
		{"rules.ask-within", s.Rules.AskWithin},
		{"me", s.Me},
		{"zone", s.Zone},
		{"balancers", s.Balancers},
	})
}

// checkDispatchers checks the number of dispatchers and the number that identifies this one.
func (s *settings) checkDispatchers() error {
	if s.Balancers < 1 || s.Balancers > maxDispatchers {
		return fmt.Errorf("balancers: %d is not a number of dispatchers from 1 to %d", s.Balancers, maxDispatchers)
	}
	if s.Me >= s.Balancers { // such a dispatcher would never be in the rotation of a warming worker
		return fmt.Errorf("me: %d is not the number of one of %d dispatchers, which count from 0", s.Me, s.Balancers)
	}
	return nil
}

// checkRatiosAndClasses checks the fractions, factors and quotas, and then the classes.
func (s *settings) checkRatiosAndClasses() error {
	if s.Rules.ColdFrom < 0 || s.Rules.ColdFrom > 1 {
		return fmt.Errorf("rules.cold-from: %g is not a share", s.Rules.ColdFrom)
	}
	if s.Rules.FallMultiple < 0 {
		return fmt.Errorf("rules.fall-multiple: %g is negative", s.Rules.FallMultiple)
	}
	for i, t := range s.Tenants {
		if t.Quota < 0 {
			return fmt.Errorf("tenants[%d].quota-per-s: %g is negative", i, t.Quota)
		}
	}
	for i, stretch := range s.Family.Stretch {
		if stretch < 0 {
			return fmt.Errorf("family-info.class-stretch[%d]: %g is negative", i, stretch)
		}
	}
	for i, c := range s.Classes {
		if err := c.check(); err != nil {
			return fmt.Errorf("request-classes[%d].%w", i, err)
		}
	}
	return nil
}

// check returns an error, which begins with the key within the class, for the first invalid
// setting.
func (c *class) check() error {
	if err := checkBounds([]boundedKey{{"window", c.Window}, {"aim", c.Aim}, {"give-up", c.GiveUp}}); err != nil {
		return err
	}
	if c.Worth < 0 || c.LateWorth < 0 || c.AimStretch < 0 {
		return errors.New("worth: it, late-worth or aim-stretch is negative")
	}
	switch c.Effect {
	case "", "safe", "keyed", "unsafe":
	default:
		return fmt.Errorf("effect: %q is unknown", c.Effect)
	}
	switch c.Group {
	case "", "all", "zone", "cell":
	default:
		return fmt.Errorf("group: %q is unknown", c.Group)
	}
	return nil
}
