package export

import (
	"cmp"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/trace"
)

// Options say what is exported and how. Make them with Resolve.
type Options struct {
	Traces, Metrics Endpoint
	File            settings.TraceFile // its path is empty for none
	Sampler         trace.Sampler
	Resource        map[string]string // attributes of this process
	MetricsInterval time.Duration     // between two exports of the measures
	BatchDelay      time.Duration     // a story waits at most this long for others
	Batch           int               // stories in one export at most
	Queue           int               // bytes of stories that wait, by their Size
	Delta           bool              // measures tell what came since the last export
}

// Endpoint is where one signal goes.
type Endpoint struct {
	URL     string // empty for nowhere
	GRPC    bool
	Gzip    bool
	Headers map[string]string
	Timeout time.Duration // of one call, from its beginning
	TLS     *tls.Config   // nil for the system's own
	files   [3]string     // its files' names: two endpoints are the same if these are
}

// Enabled tells whether anything is exported at all.
func (o *Options) Enabled() bool {
	return o.Traces.URL != "" || o.Metrics.URL != "" || o.File.Path != ""
}

// The bounds and defaults, where OpenTelemetry's specification has one its own.
const (
	defaultTimeout         = 10 * time.Second
	defaultMetricsInterval = time.Minute
	defaultBatchDelay      = 5 * time.Second
	defaultBatch           = 512
	defaultQueue           = 4 << 20
	defaultSize            = 64 << 20
	defaultFiles           = 5
	maxBatch               = 4096
)

// Resolve lays the environment over the settings. Warnings name values of the
// environment that can't be meant and are passed over, as the specification asks for
// numbers and choices; addresses, headers and certificates that can't be used are an
// error, as nothing would ever arrive.
//
// Source: OpenTelemetry specification 1.x, "Environment Variable Specification" and
// "OpenTelemetry Protocol Exporter".
func Resolve(telemetry settings.Telemetry, name string, getenv func(string) string) (o Options, warnings []string, err error) {
	e := env{get: getenv, warnings: &warnings}
	o = Options{
		MetricsInterval: e.millis("OTEL_METRIC_EXPORT_INTERVAL", cmp.Or(telemetry.MetricsInterval, defaultMetricsInterval)),
		BatchDelay:      e.millis("OTEL_BSP_SCHEDULE_DELAY", cmp.Or(telemetry.BatchDelay, defaultBatchDelay)),
		Batch:           min(e.positiveInt("OTEL_BSP_MAX_EXPORT_BATCH_SIZE", defaultBatch), maxBatch),
		Queue:           int(cmp.Or(telemetry.Queue, defaultQueue)), File: telemetry.File,
		Delta:    e.choice("OTEL_EXPORTER_OTLP_METRICS_TEMPORALITY_PREFERENCE", "cumulative", "cumulative", "delta", "lowmemory") != "cumulative",
		Sampler:  e.sampler(telemetry.SampleRatio),
		Resource: map[string]string{"service.name": cmp.Or(telemetry.Service, "frosttide"), "service.instance.id": name},
	}
	o.File.Size, o.File.Files = cmp.Or(o.File.Size, defaultSize), cmp.Or(o.File.Files, defaultFiles)
	maps.Copy(o.Resource, telemetry.Attributes)
	more, err := parsePairs(getenv("OTEL_RESOURCE_ATTRIBUTES"))
	if err != nil {
		return Options{}, nil, fmt.Errorf("OTEL_RESOURCE_ATTRIBUTES: %w", err)
	}
	maps.Copy(o.Resource, more)
	o.Resource["service.name"] = cmp.Or(getenv("OTEL_SERVICE_NAME"), o.Resource["service.name"])
	if e.flag("OTEL_SDK_DISABLED") {
		o.File.Path = ""
		return o, warnings, nil
	}
	if o.Traces, err = e.endpoint("TRACES", "/v1/traces", telemetry.OTLP, telemetry.OTLP.Traces); err != nil {
		return Options{}, nil, err
	}
	if o.Metrics, err = e.endpoint("METRICS", "/v1/metrics", telemetry.OTLP, telemetry.OTLP.Metrics); err != nil {
		return Options{}, nil, err
	}
	return o, warnings, nil
}

// env reads the environment.
type env struct {
	get      func(string) string
	warnings *[]string
}

func (e *env) addWarning(name, why string) {
	*e.warnings = append(*e.warnings, name+" is passed over: "+why)
}

func (e *env) positiveInt(name string, fallback int) int {
	s := e.get(name)
	if s == "" {
		return fallback
	}
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 {
		e.addWarning(name, strconv.Quote(s)+" is no number above 0")
		return fallback
	}
	return n
}

func (e *env) millis(name string, fallback time.Duration) time.Duration {
	ms := time.Duration(e.positiveInt(name, int(fallback/time.Millisecond)))
	return min(ms, 24*60*60*1000) * time.Millisecond
}

func (e *env) flag(name string) bool {
	s := strings.ToLower(e.get(name))
	if s != "" && s != "true" && s != "false" {
		e.addWarning(name, strconv.Quote(s)+" is neither true nor false")
	}
	return s == "true"
}

func (e *env) choice(name, fallback string, known ...string) string {
	s := strings.ToLower(e.get(name))
	for _, k := range known {
		if s == k {
			return s
		}
	}
	if s != "" {
		e.addWarning(name, strconv.Quote(s)+" is none of "+strings.Join(known, ", "))
	}
	return fallback
}

// sampler reads what becomes of plain traces; those that something happened to are
// kept by every sampler but always_off.
func (e *env) sampler(plain *float64) trace.Sampler {
	p := trace.Sampler{Ratio: 1, Parent: true}
	if plain != nil {
		p.Ratio = *plain
	}
	const name, arg = "OTEL_TRACES_SAMPLER", "OTEL_TRACES_SAMPLER_ARG"
	kind := e.choice(name, "", "always_on", "always_off", "traceidratio", "parentbased_always_on",
		"parentbased_always_off", "parentbased_traceidratio")
	how, parent := strings.CutPrefix(kind, "parentbased_")
	switch how {
	case "always_on":
		p = trace.Sampler{Ratio: 1, Parent: parent}
	case "always_off":
		p = trace.Sampler{Off: !parent, Parent: parent}
	case "traceidratio":
		p = trace.Sampler{Ratio: 1, Parent: parent}
		if s := e.get(arg); s != "" {
			x, err := strconv.ParseFloat(s, 64)
			if err != nil || !(x >= 0 && x <= 1) {
				e.addWarning(arg, strconv.Quote(s)+" is no share from 0 to 1")
			} else {
				p.Ratio = x
			}
		}
	}
	return p
}

// endpoint reads where a signal goes: its own variables go before the common ones, and
// those before the settings.
func (e *env) endpoint(signal, path string, telemetry settings.OTLP, wanted *bool) (Endpoint, error) {
	const common = "OTEL_EXPORTER_OTLP_"
	own := common + signal + "_"
	get := func(name, fallback string) string { return cmp.Or(e.get(own+name), e.get(common+name), fallback) }
	out := Endpoint{Headers: maps.Clone(telemetry.Headers), Timeout: cmp.Or(telemetry.Timeout, defaultTimeout)}
	if exporter := e.choice("OTEL_"+signal+"_EXPORTER", "otlp", "otlp", "none"); exporter == "none" || wanted != nil && !*wanted {
		return Endpoint{}, nil
	}
	// Each choice is read from the variable that is set, so that a warning names it.
	pick := func(name, fallback string, known ...string) string {
		if e.get(own+name) != "" {
			return e.choice(own+name, fallback, known...)
		}
		return e.choice(common+name, fallback, known...)
	}
	out.GRPC = pick("PROTOCOL", cmp.Or(telemetry.Protocol, "http/protobuf"), "http/protobuf", "grpc") == "grpc"
	out.Gzip = pick("COMPRESSION", cmp.Or(telemetry.Compression, "none"), "none", "gzip") == "gzip"
	for _, name := range []string{common + "TIMEOUT", own + "TIMEOUT"} {
		out.Timeout = e.millis(name, out.Timeout)
	}
	for _, name := range []string{common + "HEADERS", own + "HEADERS"} {
		more, err := parsePairs(e.get(name))
		if err != nil {
			return Endpoint{}, fmt.Errorf("%s: %w", name, err)
		}
		if out.Headers == nil {
			out.Headers = map[string]string{}
		}
		maps.Copy(out.Headers, more)
	}
	signalEndpoint, commonEndpoint, source := e.get(own+"ENDPOINT"), e.get(common+"ENDPOINT"), own+"ENDPOINT"
	if signalEndpoint == "" && commonEndpoint == "" {
		commonEndpoint, source = telemetry.Endpoint, "telemetry.otlp.endpoint"
	} else if signalEndpoint == "" {
		source = common + "ENDPOINT"
	}
	if cmp.Or(signalEndpoint, commonEndpoint) == "" {
		return Endpoint{}, nil
	}
	u, err := parseEndpoint(cmp.Or(signalEndpoint, commonEndpoint), out.GRPC, get("INSECURE", "") == "true")
	if err != nil {
		return Endpoint{}, fmt.Errorf("%s: %w", source, err)
	}
	if out.GRPC {
		u.Path = ""
	} else if signalEndpoint == "" {
		u.Path = strings.TrimSuffix(u.Path, "/") + path
	}
	out.URL = u.String()
	if u.Scheme == "https" {
		out.files = [3]string{get("CERTIFICATE", telemetry.Certificate), get("CLIENT_CERTIFICATE", telemetry.ClientCertificate),
			get("CLIENT_KEY", telemetry.ClientKey)}
		if out.TLS, err = tlsConfig(out.files); err != nil {
			return Endpoint{}, fmt.Errorf("certificates of %s: %w", source, err)
		}
	}
	return out, nil
}

// parseEndpoint reads an address. For gRPC the scheme may be left out.
func parseEndpoint(text string, grpc, insecure bool) (*url.URL, error) {
	if grpc && !strings.Contains(text, "://") {
		scheme := "https://"
		if insecure {
			scheme = "http://"
		}
		text = scheme + text
	}
	u, err := url.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%q is no address", text)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fmt.Errorf("%q is no address such as http://127.0.0.1:4318", text)
	}
	return u, nil
}

// tlsConfig reads whom to trust and as whom to call; empty names leave it to the
// system.
func tlsConfig(files [3]string) (*tls.Config, error) {
	ca, cert, key := files[0], files[1], files[2]
	c := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca != "" {
		text, err := os.ReadFile(ca)
		if err != nil {
			return nil, err
		}
		c.RootCAs = x509.NewCertPool()
		if !c.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s holds no certificate", ca)
		}
	}
	if (cert == "") != (key == "") {
		return nil, errors.New("a client's certificate and its key go together")
	}
	if cert != "" {
		pair, err := tls.LoadX509KeyPair(cert, key)
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}

// parsePairs reads key=value,key=value with percent-escapes in the values.
// Source: W3C Baggage, as OpenTelemetry's specification refers to it.
func parsePairs(text string) (map[string]string, error) {
	out := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		if strings.TrimSpace(pair) == "" {
			continue
		}
		key, value, found := strings.Cut(pair, "=")
		key = strings.TrimSpace(key)
		plain, err := url.PathUnescape(strings.TrimSpace(value))
		if !found || key == "" || err != nil {
			return nil, fmt.Errorf("%q is not written key=value", strings.TrimSpace(key))
		}
		out[key] = plain
	}
	return out, nil
}

// Values returns what is in force, for whoever checks a configuration.
func (o *Options) Values() []settings.Value {
	var out []settings.Value
	add := func(key, text string) {
		out = append(out, settings.Value{Key: key, Text: text, Source: "in force, after the OTEL_ variables"})
	}
	for _, e := range []struct {
		key string
		to  Endpoint
	}{{"traces", o.Traces}, {"measures", o.Metrics}} {
		if e.to.URL == "" {
			add("telemetry."+e.key+".to", "off")
			continue
		}
		protocol := "http/protobuf"
		if e.to.GRPC {
			protocol = "grpc"
		}
		add("telemetry."+e.key+".to", strconv.Quote(e.to.URL))
		add("telemetry."+e.key+".protocol", strconv.Quote(protocol))
		add("telemetry."+e.key+".timeout", strconv.Quote(e.to.Timeout.String()))
	}
	if o.Enabled() {
		add("telemetry.sampler", fmt.Sprintf("{off = %t, plain = %g, parent = %t}", o.Sampler.Off, o.Sampler.Ratio, o.Sampler.Parent))
	}
	return out
}

// Equivalent tells whether other options come to the same. Guards connections and what waits
// from being given up at each reload; files of certificates are read anew, as they may
// hold others under the same names.
func (o Options) Equivalent(p Options) bool {
	return o.Traces.TLS == nil && o.Metrics.TLS == nil && reflect.DeepEqual(o, p)
}
