package wire

import (
	"encoding/json"
	"time"

	"frosttide/decision"
)

// columnMetrics maps the load report columns whose name determines their meaning to metrics.
var columnMetrics = map[string]decision.Metric{
	"inflight": decision.MetricInFlight, "queue": decision.MetricQueued,
	"util": decision.MetricUtilization, "latency_ms": decision.MetricLatency,
	"qps": decision.MetricServedRate, "eps": decision.MetricErrorRate,
}

// KnownColumn reports whether the name of a load report column determines its metric. Other columns
// need a meaning in the settings.
func KnownColumn(name string) bool { return columnMetrics[name] != decision.MetricUnknown }

// configuredColumnMetrics maps the meanings that the settings can give other columns to metrics.
var configuredColumnMetrics = map[string]decision.Metric{
	"free slots": decision.MetricFreeSlots, "free memory": decision.MetricFreeMemory,
}

// ParseSettings converts the start-up settings of an instance, which are JSON, to a Config. It
// ignores unknown keys. The defaults are one instance in one zone, no optional feature, two
// attempts per request, no warm-up of workers, and classes that are safe, have the value 1 and run
// on any kind of worker. A wrong type, a number out of range or the lack of classes is an error
// that names the key.
func ParseSettings(text []byte) (decision.Config, error) {
	s, err := parse(text)
	if err != nil {
		return decision.Config{}, err
	}
	cfg := decision.Config{
		Instance:         int(s.Me),
		Instances:        int(s.Balancers),
		Zone:             int(s.Zone),
		Zones:            len(s.Zones),
		Limits:           s.limits(),
		Rules:            s.rules(),
		PullMembers:      s.Discovery == "on_request",
		StartEvents:      s.Family.TellsStart,
		WeightKnown:      s.Weights != "" && s.Weights != "none",
		Quantum:          microseconds(s.Quantum),
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

// limits converts the key policy-limits, what the deployment permits.
func (s *settings) limits() decision.Limits {
	return decision.Limits{
		MaxAttempts:    int(s.Limits.SendCap),
		HedgingAllowed: s.Limits.SecondCopies,
		CancelAllowed:  s.Limits.MayCancel,
		ProbeAllowed:   s.Limits.Probing,
		RetryAfter:     s.Limits.RetryAfter,
		MaxRetryAfter:  microseconds(s.Limits.MaxRetryAfter),
		ConnectTimeout: microseconds(s.Limits.ConnectTimeout),
	}
}

// rules converts the key rules, the parameters of the dispatcher's guarantees.
func (s *settings) rules() decision.Rules {
	return decision.Rules{
		DrainGrace:         microseconds(s.Rules.DrainGrace),
		InitialCapacity:    s.Rules.ColdFrom,
		WarmUp:             microseconds(s.Rules.WarmWithin),
		OverloadMultiple:   s.Rules.FallMultiple,
		OverloadWindow:     microseconds(s.Rules.Fall),
		MaxRefreshInterval: microseconds(s.Rules.AskWithin),
	}
}

// metrics returns the metrics of the load report columns. If the name of a column does not
// determine its metric, the key "report-NAME" in family-info gives its meaning.
func (s *settings) metrics(text []byte) []decision.Metric {
	var extra struct {
		Family map[string]any `json:"family-info"`
	}
	// parse has already accepted the text, and a column without a meaning is ignored.
	_ = json.Unmarshal(text, &extra)
	var out []decision.Metric
	for _, name := range s.Report.Columns[:min(len(s.Report.Columns), decision.MaxMetrics)] {
		m := columnMetrics[name]
		if meaning, ok := extra.Family["report-"+name].(string); ok && m == decision.MetricUnknown {
			m = configuredColumnMetrics[meaning]
		}
		out = append(out, m)
	}
	return out
}

// class converts the request class with index i, including what family-info specifies for it.
func (s *settings) class(i int) decision.Class {
	c := s.Classes[i]
	out := decision.Class{DedupWindow: microseconds(c.Window), Objective: microseconds(c.Aim), Stretch: c.AimStretch, ClientTimeout: microseconds(c.GiveUp),
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

// microseconds converts a number of microseconds to a Duration.
func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
