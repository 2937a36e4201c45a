package settings

import "time"

// ownValue returns the value of a key, the zero one if the file does not set it and it has no default.
func ownValue[T any](r *reader, key string) T {
	v, _ := r.own[key].(T)
	return v
}

// optionalValue does the same, but returns nil if there is no value.
func optionalValue[T any](r *reader, key string) *T {
	if v, ok := r.own[key].(T); ok {
		return &v
	}
	return nil
}

// ownStrings returns the value of a key that is a list of strings.
func (r *reader) ownStrings(key string) (out []string) {
	list, _ := r.own[key].([]any)
	for _, v := range list {
		out = append(out, v.(string))
	}
	return out
}

func (r *reader) gearman() Gearman {
	return Gearman{
		Listen:      ownValue[string](r, "gearman.listen"),
		Functions:   ownValue[map[string]string](r, "gearman.functions"),
		Zone:        ownValue[string](r, "gearman.zone"),
		Kind:        ownValue[string](r, "gearman.kind"),
		Connections: ownValue[int64](r, "gearman.connections"),
		Jobs:        ownValue[int64](r, "gearman.jobs"),
		Packet:      ownValue[int64](r, "gearman.packet"),
		Certificate: ownValue[string](r, "gearman.certificate"),
		Key:         ownValue[string](r, "gearman.key"),
		Clients:     ownValue[string](r, "gearman.client_certificates"),
	}
}

func (r *reader) state() State {
	return State{
		Dir:           ownValue[string](r, "state.dir"),
		Generations:   ownValue[int64](r, "state.generations"),
		WriteInterval: ownValue[time.Duration](r, "state.every"),
		Fresh:         ownValue[time.Duration](r, "state.fresh"),
		Old:           ownValue[time.Duration](r, "state.old"),
		Max:           ownValue[time.Duration](r, "state.max_age"),
		DoubtTimeout:  ownValue[time.Duration](r, "state.doubt_for"),
		MaxMissing:    ownValue[float64](r, "state.doubt_share"),
	}
}

// DefaultStateGenerations is how many generations are kept by default.
const DefaultStateGenerations = 3

// DefaultState returns the state's settings of an empty file.
func DefaultState() State {
	r := &reader{platform: map[string]any{}, own: map[string]any{}, knownKeys: map[string]bool{}}
	r.fields(schema, "", nil, r.platform)
	return r.state()
}

func (r *reader) cluster() Cluster {
	return Cluster{
		Listen:           ownValue[string](r, "cluster.listen"),
		Advertise:        ownValue[string](r, "cluster.advertise"),
		Join:             r.ownStrings("cluster.join"),
		Voters:           r.ownStrings("cluster.voters"),
		Dir:              ownValue[string](r, "cluster.dir"),
		Discovery:        ownValue[string](r, "cluster.discovery"),
		WatermarkDir:     ownValue[string](r, "recovery.keep"),
		StagedRejoin:     ownValue[bool](r, "recovery.stages"),
		PacedAdmission:   ownValue[bool](r, "recovery.paced"),
		Workflows:        ownValue[bool](r, "workflow.enabled"),
		MaxCompensations: int(ownValue[int64](r, "workflow.undos_at_once")),
	}
}

func (r *reader) gang() Gang {
	return Gang{
		Enabled:        ownValue[bool](r, "gang.enabled"),
		ReportInterval: ownValue[time.Duration](r, "gang.reports_every"),
		Speculative:    ownValue[bool](r, "gang.copies"),
	}
}

func (r *reader) telemetry() Telemetry {
	return Telemetry{
		Service:         ownValue[string](r, "telemetry.service"),
		Attributes:      ownValue[map[string]string](r, "telemetry.attributes"),
		SampleRatio:     optionalValue[float64](r, "telemetry.plain"),
		MetricsInterval: ownValue[time.Duration](r, "telemetry.measures_every"),
		BatchDelay:      ownValue[time.Duration](r, "telemetry.batch_every"),
		Queue:           ownValue[int64](r, "telemetry.queue"),
		OTLP: OTLP{
			Endpoint:          ownValue[string](r, "telemetry.otlp.endpoint"),
			Protocol:          ownValue[string](r, "telemetry.otlp.protocol"),
			Compression:       ownValue[string](r, "telemetry.otlp.compression"),
			Headers:           ownValue[map[string]string](r, "telemetry.otlp.headers"),
			Timeout:           ownValue[time.Duration](r, "telemetry.otlp.timeout"),
			Certificate:       ownValue[string](r, "telemetry.otlp.certificate"),
			ClientCertificate: ownValue[string](r, "telemetry.otlp.client_certificate"),
			ClientKey:         ownValue[string](r, "telemetry.otlp.client_key"),
			Traces:            optionalValue[bool](r, "telemetry.otlp.traces"),
			Metrics:           optionalValue[bool](r, "telemetry.otlp.measures"),
		},
		File: TraceFile{
			Path:  ownValue[string](r, "telemetry.file.path"),
			Size:  ownValue[int64](r, "telemetry.file.max_size"),
			Files: ownValue[int64](r, "telemetry.file.max_files"),
		},
	}
}
