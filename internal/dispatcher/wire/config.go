package wire

import (
	"encoding/json"
	"time"

	"frosttide/decision"
)

// columnMetrics are the metrics of the columns of load reports that have a meaning by their name.
var columnMetrics = map[string]decision.Metric{
	"inflight": decision.MetricInFlight, "queue": decision.MetricQueued,
	"util": decision.MetricUtilization, "latency_ms": decision.MetricLatency,
	"qps": decision.MetricServedRate, "eps": decision.MetricErrorRate,
}

// KnownColumn reports whether a column of load reports has a meaning by its name alone.
func KnownColumn(name string) bool { return columnMetrics[name] != decision.MetricUnknown }

// freeColumnMetrics are the metrics of the other columns, by the meaning that the settings give them.
var freeColumnMetrics = map[string]decision.Metric{
	"free slots": decision.MetricFreeSlots, "free memory": decision.MetricFreeMemory,
}

// ParseSettings returns the Config of an instance for its start-up settings, which are JSON. Unknown keys are ignored.
// Absent keys mean: one instance in one zone, nothing optional allowed, two attempts, workers that are warm from the
// start, every class safe, of value 1 and for any kind of worker. A wrong type, a number out of range or a missing class
// is an error that names the key.
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
		Quantum:          micros(s.Quantum),
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

// limits returns the deployment's limits.
func (s *settings) limits() decision.Limits {
	return decision.Limits{
		MaxAttempts:    int(s.Limits.SendCap),
		HedgingAllowed: s.Limits.SecondCopies,
		CancelAllowed:  s.Limits.MayCancel,
		ProbeAllowed:   s.Limits.Probing,
		RetryAfter:     s.Limits.RetryAfter,
		MaxRetryAfter:  micros(s.Limits.MaxRetryAfter),
		ConnectTimeout: micros(s.Limits.ConnectTimeout),
	}
}

// rules returns the figures of the dispatcher's guarantees.
func (s *settings) rules() decision.Rules {
	return decision.Rules{
		DrainGrace:         micros(s.Rules.DrainGrace),
		InitialCapacity:    s.Rules.ColdFrom,
		WarmUp:             micros(s.Rules.WarmWithin),
		OverloadMultiple:   s.Rules.FallMultiple,
		OverloadWindow:     micros(s.Rules.Fall),
		MaxRefreshInterval: micros(s.Rules.AskWithin),
	}
}

// metrics returns the metrics of the report's columns. The meaning of a column that has none by its name stands under the
// key of its name with the prefix "report-".
func (s *settings) metrics(text []byte) []decision.Metric {
	var meanings struct {
		Family map[string]any `json:"family-info"`
	}
	_ = json.Unmarshal(text, &meanings) // parse has read it before, and a column without a meaning does no harm
	var out []decision.Metric
	for _, name := range s.Report.Columns[:min(len(s.Report.Columns), decision.MaxMetrics)] {
		m := columnMetrics[name]
		if meaning, ok := meanings.Family["report-"+name].(string); ok && m == decision.MetricUnknown {
			m = freeColumnMetrics[meaning]
		}
		out = append(out, m)
	}
	return out
}

// class returns the decision.Class of a request class, with what the workers' family adds to it.
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

// micros returns the Duration of microseconds.
func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
