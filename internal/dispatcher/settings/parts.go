package settings

import (
	"time"
)

// ownValue returns a value that stays here; the zero one where the file does not say it.
func ownValue[T any](r *reader, key string) T {
	v, _ := r.own[key].(T)
	return v
}

// optionalValue returns the same, nil where the file does not say it.
func optionalValue[T any](r *reader, key string) *T {
	if v, ok := r.own[key].(T); ok {
		return &v
	}
	return nil
}

func (r *reader) gearman() Gearman {
	const g = "gearman."
	return Gearman{Listen: ownValue[string](r, g+"listen"), Functions: ownValue[map[string]string](r, g+"functions"), Zone: ownValue[string](r, g+"zone"),
		Kind: ownValue[string](r, g+"kind"), Connections: ownValue[int64](r, g+"connections"), Jobs: ownValue[int64](r, g+"jobs"),
		Packet: ownValue[int64](r, g+"packet"), Certificate: ownValue[string](r, g+"certificate"), Key: ownValue[string](r, g+"key"),
		Clients: ownValue[string](r, g+"client_certificates")}
}

func (r *reader) state() State {
	return State{Dir: ownValue[string](r, "state.dir"), Generations: ownValue[int64](r, "state.generations"),
		WriteInterval: ownValue[time.Duration](r, "state.every"), Fresh: ownValue[time.Duration](r, "state.fresh"),
		Old: ownValue[time.Duration](r, "state.old"), Max: ownValue[time.Duration](r, "state.max_age"),
		DoubtTimeout: ownValue[time.Duration](r, "state.doubt_for"), MaxMissing: ownValue[float64](r, "state.doubt_share")}
}

// DefaultStateGenerations is how many generations are kept without a word.
const DefaultStateGenerations = 3

// DefaultState is what a file without a word says.
func DefaultState() State {
	r := &reader{platform: map[string]any{}, own: map[string]any{}, knownKeys: map[string]bool{}}
	r.fields(schema, "", nil, r.platform)
	return r.state()
}

func (r *reader) telemetry() Telemetry {
	const otlp, file = "telemetry.otlp.", "telemetry.file."
	return Telemetry{
		Service: ownValue[string](r, "telemetry.service"), Attributes: ownValue[map[string]string](r, "telemetry.attributes"),
		SampleRatio: optionalValue[float64](r, "telemetry.plain"), MetricsInterval: ownValue[time.Duration](r, "telemetry.measures_every"),
		BatchDelay: ownValue[time.Duration](r, "telemetry.batch_every"), Queue: ownValue[int64](r, "telemetry.queue"),
		OTLP: OTLP{
			Endpoint: ownValue[string](r, otlp+"endpoint"), Protocol: ownValue[string](r, otlp+"protocol"),
			Compression: ownValue[string](r, otlp+"compression"), Headers: ownValue[map[string]string](r, otlp+"headers"),
			Timeout: ownValue[time.Duration](r, otlp+"timeout"), Certificate: ownValue[string](r, otlp+"certificate"),
			ClientCertificate: ownValue[string](r, otlp+"client_certificate"), ClientKey: ownValue[string](r, otlp+"client_key"),
			Traces: optionalValue[bool](r, otlp+"traces"), Metrics: optionalValue[bool](r, otlp+"measures"),
		},
		File: TraceFile{Path: ownValue[string](r, file+"path"), Size: ownValue[int64](r, file+"max_size"), Files: ownValue[int64](r, file+"max_files")},
	}
}
