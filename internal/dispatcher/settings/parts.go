package settings

import (
	"time"
)

// own returns a value that stays here; the zero one where the file does not say it.
func own[T any](r *reader, key string) T {
	v, _ := r.own[key].(T)
	return v
}

// maybe returns the same, nil where the file does not say it.
func maybe[T any](r *reader, key string) *T {
	if v, ok := r.own[key].(T); ok {
		return &v
	}
	return nil
}

func (r *reader) gearman() Gearman {
	const g = "gearman."
	return Gearman{Listen: own[string](r, g+"listen"), Functions: own[map[string]string](r, g+"functions"), Zone: own[string](r, g+"zone"),
		Kind: own[string](r, g+"kind"), Connections: own[int64](r, g+"connections"), Jobs: own[int64](r, g+"jobs"),
		Packet: own[int64](r, g+"packet"), Certificate: own[string](r, g+"certificate"), Key: own[string](r, g+"key"),
		Clients: own[string](r, g+"client_certificates")}
}

func (r *reader) state() State {
	return State{Dir: own[string](r, "state.dir"), Generations: own[int64](r, "state.generations"),
		Every: own[time.Duration](r, "state.every"), Fresh: own[time.Duration](r, "state.fresh"),
		Old: own[time.Duration](r, "state.old"), Max: own[time.Duration](r, "state.max_age"),
		DoubtFor: own[time.Duration](r, "state.doubt_for"), DoubtShare: own[float64](r, "state.doubt_share")}
}

// DefaultStateGenerations is how many generations are kept without a word.
const DefaultStateGenerations = 3

// DefaultState is what a file without a word says.
func DefaultState() State {
	r := &reader{platform: map[string]any{}, own: map[string]any{}, seen: map[string]bool{}}
	r.fields(schema, "", nil, r.platform)
	return r.state()
}

func (r *reader) telemetry() Telemetry {
	const otlp, file = "telemetry.otlp.", "telemetry.file."
	return Telemetry{
		Service: own[string](r, "telemetry.service"), Attributes: own[map[string]string](r, "telemetry.attributes"),
		Plain: maybe[float64](r, "telemetry.plain"), Every: own[time.Duration](r, "telemetry.measures_every"),
		BatchEvery: own[time.Duration](r, "telemetry.batch_every"), Queue: own[int64](r, "telemetry.queue"),
		OTLP: OTLP{
			Endpoint: own[string](r, otlp+"endpoint"), Protocol: own[string](r, otlp+"protocol"),
			Compression: own[string](r, otlp+"compression"), Headers: own[map[string]string](r, otlp+"headers"),
			Timeout: own[time.Duration](r, otlp+"timeout"), Certificate: own[string](r, otlp+"certificate"),
			ClientCertificate: own[string](r, otlp+"client_certificate"), ClientKey: own[string](r, otlp+"client_key"),
			Traces: maybe[bool](r, otlp+"traces"), Measures: maybe[bool](r, otlp+"measures"),
		},
		File: TraceFile{Path: own[string](r, file+"path"), Size: own[int64](r, file+"max_size"), Files: own[int64](r, file+"max_files")},
	}
}
