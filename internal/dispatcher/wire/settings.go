package wire

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"frosttide/decision"
)

// settings is the part of the start-up settings that is used. Times are
// microseconds. Absent keys keep the values set in ParseSettings.
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

var columnMetrics = map[string]decision.Metric{
	"inflight": decision.MetricInFlight, "queue": decision.MetricQueued,
	"util": decision.MetricUtilization, "latency_ms": decision.MetricLatency,
	"qps": decision.MetricServedRate, "eps": decision.MetricErrorRate,
}

// KnownColumn tells whether a load report's column has a meaning by its name alone.
func KnownColumn(name string) bool { return columnMetrics[name] != decision.MetricUnknown }

// slotMetrics holds what the free columns of a report may stand for.
var slotMetrics = map[string]decision.Metric{
	"free slots": decision.MetricFreeSlots, "free memory": decision.MetricFreeMemory,
}

// ParseSettings maps the start-up settings of an instance to a Config.
// Unknown keys are passed over. Absent keys mean: one instance in one zone,
// nothing optional allowed, two attempts, warm workers from the start, every
// class safe, of worth 1 and any kind. A wrong type, a negative figure or a
// missing class is an error that names the key.
func ParseSettings(text []byte) (decision.Config, error) {
	s, err := parse(text)
	if err != nil {
		return decision.Config{}, err
	}
	cfg := decision.Config{
		Instance: int(s.Me), Instances: int(s.Balancers), Zone: int(s.Zone), Zones: len(s.Zones),
		Limits: decision.Limits{MaxAttempts: int(s.Limits.SendCap), HedgingAllowed: s.Limits.SecondCopies,
			CancelAllowed: s.Limits.MayCancel, ProbeAllowed: s.Limits.Probing, RetryAfter: s.Limits.RetryAfter,
			MaxRetryAfter: micros(s.Limits.MaxRetryAfter), ConnectTimeout: micros(s.Limits.ConnectTimeout)},
		Rules: decision.Rules{DrainGrace: micros(s.Rules.DrainGrace), InitialCapacity: s.Rules.ColdFrom,
			WarmUp: micros(s.Rules.WarmWithin), OverloadMultiple: s.Rules.FallMultiple, OverloadWindow: micros(s.Rules.Fall),
			MaxRefreshInterval: micros(s.Rules.AskWithin)},
		PullMembers: s.Discovery == "on_request", StartEvents: s.Family.TellsStart,
		WeightKnown: s.Weights != "" && s.Weights != "none", Quantum: micros(s.Quantum),
		CrossZonePenalty: s.Deductions.CrossZone,
	}
	if s.Report.Source == "answers" || s.Report.Source == "probe" {
		cfg.Metrics = s.metrics(text)
	}
	for _, t := range s.Tenants {
		cfg.Tenants = append(cfg.Tenants, decision.Tenant{RatePerSecond: t.Quota})
	}
	for i := range s.Classes {
		cfg.Classes = append(cfg.Classes, s.class(i))
	}
	return cfg, nil
}

// Names holds what a host on sockets needs of the settings beside the Config:
// the words that stand for numbers, and how long a connection may sit idle.
type Names struct {
	Classes   []string
	Tenants   []string
	Zones     []string
	Kinds     []string
	Columns   []string // of load reports, in the order of Config.Metrics; none where there are no reports
	InAnswers bool     // load reports come with answers too
	Keepalive time.Duration
	Pushed    bool // lists are pushed to an agent that has to be read
}

// ParseNames reads the Names from the settings that ParseSettings reads.
func ParseNames(text []byte) (Names, error) {
	s, err := parse(text)
	if err != nil {
		return Names{}, err
	}
	n := Names{Zones: texts(s.Zones), Kinds: texts(s.Kinds), Keepalive: micros(s.Limits.Keepalive),
		InAnswers: s.Report.Source == "answers", Pushed: s.Discovery == "pushed"}
	if s.Report.Source == "answers" || s.Report.Source == "probe" {
		n.Columns = s.Report.Columns[:min(len(s.Report.Columns), decision.MaxMetrics)]
	}
	for _, c := range s.Classes {
		n.Classes = append(n.Classes, c.Name)
	}
	for _, t := range s.Tenants {
		n.Tenants = append(n.Tenants, fmt.Sprint(cmp.Or(t.Name, any(""))))
	}
	return n, nil
}

// texts returns names as text, whatever JSON wrote them as.
func texts(names []any) []string {
	var out []string
	for _, name := range names {
		out = append(out, fmt.Sprint(name))
	}
	return out
}

// parse reads and checks the settings.
func parse(text []byte) (settings, error) {
	s := settings{Balancers: 1}
	s.Limits.SendCap = 2
	s.Rules.ColdFrom, s.Rules.FallMultiple = 1, 1
	if err := json.Unmarshal(text, &s); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return s, fmt.Errorf("settings: %s: %s is not a %s", wrong.Field, wrong.Value, wrong.Type)
		}
		return s, fmt.Errorf("settings: %w", err)
	}
	if err := s.check(); err != nil {
		return s, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// metrics names the report's columns; what a free column holds is told in
// words under a key of the column's own name.
func (s *settings) metrics(text []byte) []decision.Metric {
	var meanings struct {
		Family map[string]any `json:"family-info"`
	}
	_ = json.Unmarshal(text, &meanings) // it was valid a moment ago; no meaning is no harm
	var out []decision.Metric
	for _, name := range s.Report.Columns[:min(len(s.Report.Columns), decision.MaxMetrics)] {
		m := columnMetrics[name]
		if word, ok := meanings.Family["report-"+name].(string); ok && m == decision.MetricUnknown {
			m = slotMetrics[word]
		}
		out = append(out, m)
	}
	return out
}

func (s *settings) class(i int) decision.Class {
	c := s.Classes[i]
	out := decision.Class{DedupWindow: micros(c.Window), Objective: micros(c.Aim), Stretch: c.AimStretch, ClientTimeout: micros(c.GiveUp),
		Value: c.Worth, LateValue: c.LateWorth, Streamed: c.Stream, WorkerKind: -1}
	switch c.Effect {
	case "keyed":
		out.Effect = decision.Keyed
	case "unsafe":
		out.Effect = decision.Unsafe
	}
	switch c.Group {
	case "zone":
		out.DedupScope = decision.ScopeZone
	case "cell":
		out.DedupScope = decision.ScopeCell
	}
	if i < len(s.Family.Kind) {
		out.WorkerKind = int(s.Family.Kind[i])
	}
	if i < len(s.Family.Priority) {
		out.Priority = int(s.Family.Priority[i])
	}
	if i < len(s.Family.Stretch) {
		out.Stretch = s.Family.Stretch[i]
	}
	return out
}

// UnmarshalJSON gives a class its defaults before it is read.
func (c *class) UnmarshalJSON(text []byte) error {
	type plain class
	p := plain{Worth: 1}
	if err := json.Unmarshal(text, &p); err != nil {
		return err
	}
	*c = class(p)
	return nil
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// maxMicros is the largest time a setting may hold, in microseconds: beyond it
// sums of times could overflow.
const maxMicros = int64(1) << 50

// maxDispatchers bounds how many share a fleet, far above any that is meant.
const maxDispatchers = 1 << 16

// boundedKey is a time or count among the settings.
type boundedKey struct {
	key   string
	value int64
}

func checkBounds(times []boundedKey) error {
	for _, t := range times {
		if t.value < 0 || t.value > maxMicros {
			return fmt.Errorf("%s: %d is out of range", t.key, t.value)
		}
	}
	return nil
}

// check refuses figures that cannot be meant.
func (s *settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("request-classes: there are none")
	}
	times := []boundedKey{
		{"quantum", s.Quantum}, {"policy-limits.max-retry-after", s.Limits.MaxRetryAfter},
		{"policy-limits.connect-timeout", s.Limits.ConnectTimeout}, {"policy-limits.keepalive", s.Limits.Keepalive}, {"policy-limits.send-cap", s.Limits.SendCap},
		{"rules.drain-grace", s.Rules.DrainGrace}, {"rules.warm-within", s.Rules.WarmWithin},
		{"rules.fall", s.Rules.Fall}, {"rules.ask-within", s.Rules.AskWithin}, {"me", s.Me}, {"zone", s.Zone},
		{"balancers", s.Balancers},
	}
	if err := checkBounds(times); err != nil {
		return err
	}
	if s.Balancers < 1 || s.Balancers > maxDispatchers {
		return fmt.Errorf("balancers: %d is not a number of dispatchers from 1 to %d", s.Balancers, maxDispatchers)
	}
	if s.Me >= s.Balancers { // it would never have its turn at a cold worker
		return fmt.Errorf("me: %d is not the number of one of %d dispatchers, which count from 0", s.Me, s.Balancers)
	}
	if !slices.Contains([]string{"", "none", "on_request", "pushed"}, s.Discovery) {
		return fmt.Errorf("discovery: %q is neither on_request nor pushed", s.Discovery)
	}
	if !slices.Contains([]string{"", "none", "answers", "probe"}, s.Report.Source) {
		return fmt.Errorf("report.source: %q is none of answers, probe and none", s.Report.Source)
	}
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
	for i, v := range s.Family.Stretch {
		if v < 0 {
			return fmt.Errorf("family-info.class-stretch[%d]: %g is negative", i, v)
		}
	}
	for i, c := range s.Classes {
		if err := c.check(); err != nil {
			return fmt.Errorf("request-classes[%d].%w", i, err)
		}
	}
	return nil
}

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
