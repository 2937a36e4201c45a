package wire

import (
	"encoding/json"
	"errors"
	"fmt"
)

// settings is the part of the start-up settings that is used. Its fields are named after the JSON
// keys; package decision defines the terms that ParseSettings converts them to. Times are in
// microseconds. Absent keys keep the defaults that parse sets.
type settings struct {
	Balancers int64   `json:"balancers"`
	Me        int64   `json:"me"`
	Zone      int64   `json:"zone"`
	Zones     []any   `json:"zones"`
	Kinds     []any   `json:"kinds"`
	Quantum   int64   `json:"quantum"`
	Discovery string  `json:"discovery"`
	Weights   string  `json:"weights"`
	Classes   []class `json:"request-classes"`
	Tenants   []struct {
		Name  any     `json:"name"`
		Quota float64 `json:"quota-per-s"`
	} `json:"tenants"`
	Deductions struct {
		CrossZone float64 `json:"cross-zone"`
	} `json:"deductions"`
	Limits struct {
		SendCap        int64 `json:"send-cap"`
		SecondCopies   bool  `json:"second-copies"`
		MayCancel      bool  `json:"may-cancel"`
		Probing        bool  `json:"probing"`
		RetryAfter     bool  `json:"retry-after"`
		MaxRetryAfter  int64 `json:"max-retry-after"`
		ConnectTimeout int64 `json:"connect-timeout"`
		Keepalive      int64 `json:"keepalive"`
	} `json:"policy-limits"`
	Rules struct {
		DrainGrace   int64   `json:"drain-grace"`
		ColdFrom     float64 `json:"cold-from"`
		WarmWithin   int64   `json:"warm-within"`
		FallMultiple float64 `json:"fall-multiple"`
		Fall         int64   `json:"fall"`
		AskWithin    int64   `json:"ask-within"`
	} `json:"rules"`
	Report struct {
		Source  string   `json:"source"`
		Columns []string `json:"columns"`
	} `json:"report"`
	Family struct {
		TellsStart bool      `json:"tells-start"`
		Kind       []int64   `json:"class-kind"`
		Priority   []int64   `json:"class-priority"`
		Stretch    []float64 `json:"class-stretch"`
	} `json:"family-info"`
}

// class is an item of request-classes. Its fields are named after the JSON keys.
type class struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	Window     int64   `json:"window"`
	Aim        int64   `json:"aim"`
	AimStretch float64 `json:"aim-stretch"`
	GiveUp     int64   `json:"give-up"`
	Worth      float64 `json:"worth"`
	LateWorth  float64 `json:"late-worth"`
	Stream     bool    `json:"stream"`
}

// parse parses and validates the settings.
func parse(text []byte) (settings, error) {
	s := settings{Balancers: 1}
	s.Limits.SendCap = 2
	s.Rules.ColdFrom, s.Rules.FallMultiple = 1, 1
	if err := json.Unmarshal(text, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return s, fmt.Errorf("settings: %s: %s is not a %s", typeErr.Field, typeErr.Value, typeErr.Type)
		}
		return s, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// UnmarshalJSON implements json.Unmarshaler. Absent keys get their defaults.
func (c *class) UnmarshalJSON(text []byte) error {
	type plain class
	p := plain{Worth: 1}
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	*c = class(p)
	return nil
}
