package settings

import "time"

// valueOf returns the parsed value of a key, or the zero value of T if the key has neither a value
// nor a default.
func valueOf[T any](r *reader, key string) T {
	v, _ := r.parsed[key].(T)
	return v
}

// optionalValueOf returns a pointer to the parsed value of a key, or nil if the key has neither a
// value nor a default.
func optionalValueOf[T any](r *reader, key string) *T {
	if v, ok := r.parsed[key].(T); ok {
		return &v
	}
	return nil
}

// stringsOf returns the parsed value of a key that holds a list of strings.
func (r *reader) stringsOf(key string) (out []string) {
	list, _ := r.parsed[key].([]any)
	for _, v := range list {
		out = append(out, v.(string))
	}
	return out
}

func (r *reader) gearman() Gearman {
	return Gearman{
		Listen:      valueOf[string](r, "gearman.listen"),
		Functions:   valueOf[map[string]string](r, "gearman.functions"),
		Zone:        valueOf[string](r, "gearman.zone"),
		Kind:        valueOf[string](r, "gearman.kind"),
		Connections: valueOf[int64](r, "gearman.connections"),
		Jobs:        valueOf[int64](r, "gearman.jobs"),
		Packet:      valueOf[int64](r, "gearman.packet"),
		Certificate: valueOf[string](r, "gearman.certificate"),
		Key:         valueOf[string](r, "gearman.key"),
		Clients:     valueOf[string](r, "gearman.client_certificates"),
	}
}

func (r *reader) state() State {
	return State{
		Dir:           valueOf[string](r, "state.dir"),
		Generations:   valueOf[int64](r, "state.generations"),
		WriteInterval: valueOf[time.Duration](r, "state.every"),
		Fresh:         valueOf[time.Duration](r, "state.fresh"),
		Old:           valueOf[time.Duration](r, "state.old"),
		Max:           valueOf[time.Duration](r, "state.max_age"),
		DoubtTimeout:  valueOf[time.Duration](r, "state.doubt_for"),
		MaxMissing:    valueOf[float64](r, "state.doubt_share"),
	}
}

// DefaultStateGenerations is the default of State.Generations.
const DefaultStateGenerations = 3

// DefaultState returns the State that an empty settings file yields.
func DefaultState() State {
	r := &reader{platform: map[string]any{}, parsed: map[string]any{}, knownKeys: map[string]bool{}}
	r.readFields(schema, "", nil, r.platform)
	return r.state()
}

func (r *reader) cluster() Cluster {
	return Cluster{
		Listen:           valueOf[string](r, "cluster.listen"),
		Advertise:        valueOf[string](r, "cluster.advertise"),
		Join:             r.stringsOf("cluster.join"),
		Voters:           r.stringsOf("cluster.voters"),
		Dir:              valueOf[string](r, "cluster.dir"),
		Discovery:        valueOf[string](r, "cluster.discovery"),
		WatermarkDir:     valueOf[string](r, "recovery.keep"),
		StagedRejoin:     valueOf[bool](r, "recovery.stages"),
		PacedAdmission:   valueOf[bool](r, "recovery.paced"),
		Workflows:        valueOf[bool](r, "workflow.enabled"),
		MaxCompensations: int(valueOf[int64](r, "workflow.undos_at_once")),
	}
}

func (r *reader) gang() Gang {
	return Gang{
		Enabled:        valueOf[bool](r, "gang.enabled"),
		ReportInterval: valueOf[time.Duration](r, "gang.reports_every"),
		Speculative:    valueOf[bool](r, "gang.copies"),
	}
}

func (r *reader) telemetry() Telemetry {
	return Telemetry{
		Service:         valueOf[string](r, "telemetry.service"),
		Attributes:      valueOf[map[string]string](r, "telemetry.attributes"),
		SampleRatio:     optionalValueOf[float64](r, "telemetry.plain"),
		MetricsInterval: valueOf[time.Duration](r, "telemetry.measures_every"),
		BatchDelay:      valueOf[time.Duration](r, "telemetry.batch_every"),
		Queue:           valueOf[int64](r, "telemetry.queue"),
		OTLP: OTLP{
			Endpoint:          valueOf[string](r, "telemetry.otlp.endpoint"),
			Protocol:          valueOf[string](r, "telemetry.otlp.protocol"),
			Compression:       valueOf[string](r, "telemetry.otlp.compression"),
			Headers:           valueOf[map[string]string](r, "telemetry.otlp.headers"),
			Timeout:           valueOf[time.Duration](r, "telemetry.otlp.timeout"),
			Certificate:       valueOf[string](r, "telemetry.otlp.certificate"),
			ClientCertificate: valueOf[string](r, "telemetry.otlp.client_certificate"),
			ClientKey:         valueOf[string](r, "telemetry.otlp.client_key"),
			Traces:            optionalValueOf[bool](r, "telemetry.otlp.traces"),
			Metrics:           optionalValueOf[bool](r, "telemetry.otlp.measures"),
		},
		File: TraceFile{
			Path:  valueOf[string](r, "telemetry.file.path"),
			Size:  valueOf[int64](r, "telemetry.file.max_size"),
			Files: valueOf[int64](r, "telemetry.file.max_files"),
		},
	}
}
