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
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/settings"
	"frosttide/internal/dispatcher/trace"
)

// environment reads the OTEL_ variables. Values that the specification says to ignore are reported
// in the warnings.
type environment struct {
	get      func(string) string
	warnings *[]string
}

// warn adds a warning that a variable is ignored.
func (e *environment) warn(name, reason string) {
	*e.warnings = append(*e.warnings, name+" is passed over: "+reason)
}

// positiveInt returns the value of a variable, or the fallback if it is unset or not a positive
// integer.
func (e *environment) positiveInt(name string, fallback int) int {
	s := e.get(name)
	if s == "" {
		return fallback
	}
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 {
		e.warn(name, strconv.Quote(s)+" is no number above 0")
		return fallback
	}
	return n
}

// millis returns the duration in a variable, which is in milliseconds and capped at one day.
func (e *environment) millis(name string, fallback time.Duration) time.Duration {
	ms := time.Duration(e.positiveInt(name, int(fallback/time.Millisecond)))
	return min(ms, 24*60*60*1000) * time.Millisecond
}

// flag reports whether a variable is set to true, regardless of letter case.
func (e *environment) flag(name string) bool {
	s := strings.ToLower(e.get(name))
	if s != "" && s != "true" && s != "false" {
		e.warn(name, strconv.Quote(s)+" is neither true nor false")
	}
	return s == "true"
}

// choice returns the value of a variable in lower case if it is one of the known values, else the
// fallback.
func (e *environment) choice(name, fallback string, known ...string) string {
	s := strings.ToLower(e.get(name))
	for _, k := range known {
		if s == k {
			return s
		}
	}
	if s != "" {
		e.warn(name, strconv.Quote(s)+" is none of "+strings.Join(known, ", "))
	}
	return fallback
}

// sampler returns the sampler that the variables select, with the configured ratio as the default.
// The ratio applies to plain records only: notable ones are kept by every sampler but always_off.
func (e *environment) sampler(ratio *float64) trace.Sampler {
	s := trace.Sampler{Ratio: 1, Parent: true}
	if ratio != nil {
		s.Ratio = *ratio
	}
	kind := e.choice("OTEL_TRACES_SAMPLER", "", "always_on", "always_off", "traceidratio", "parentbased_always_on",
		"parentbased_always_off", "parentbased_traceidratio")
	root, parentBased := strings.CutPrefix(kind, "parentbased_")
	switch root {
	case "always_on":
		return trace.Sampler{Ratio: 1, Parent: parentBased}
	case "always_off":
		return trace.Sampler{Off: !parentBased, Parent: parentBased}
	case "traceidratio":
		return trace.Sampler{Ratio: e.ratio("OTEL_TRACES_SAMPLER_ARG"), Parent: parentBased}
	}
	return s
}

// ratio returns a variable's value between 0 and 1, or 1 if it is unset or malformed.
func (e *environment) ratio(name string) float64 {
	s := e.get(name)
	if s == "" {
		return 1
	}
	x, err := strconv.ParseFloat(s, 64)
	if err != nil || !(x >= 0 && x <= 1) {
		e.warn(name, strconv.Quote(s)+" is no share from 0 to 1")
		return 1
	}
	return x
}

// commonPrefix starts the variables that apply to all signals. Those of one signal add its name.
const commonPrefix = "OTEL_EXPORTER_OTLP_"

// endpoint returns where a signal is sent, with an empty URL if it is not exported. The signal's
// own variables take precedence over the common ones, and those over the settings. Path is appended
// to a common address. Enabled is the signal's switch in the settings, nil if it is not set.
func (e *environment) endpoint(signal, path string, configured settings.OTLP, enabled *bool) (Endpoint, error) {
	signalPrefix := commonPrefix + signal + "_"
	endpoint := Endpoint{Timeout: cmp.Or(configured.Timeout, defaultTimeout)}
	if exporter := e.choice("OTEL_"+signal+"_EXPORTER", "otlp", "otlp", "none"); exporter == "none" || enabled != nil && !*enabled {
		return Endpoint{}, nil
	}
	endpoint.GRPC = e.signalOrCommonChoice(signalPrefix, "PROTOCOL", cmp.Or(configured.Protocol, "http/protobuf"), "http/protobuf", "grpc") == "grpc"
	endpoint.Gzip = e.signalOrCommonChoice(signalPrefix, "COMPRESSION", cmp.Or(configured.Compression, "none"), "none", "gzip") == "gzip"
	for _, name := range []string{commonPrefix + "TIMEOUT", signalPrefix + "TIMEOUT"} {
		endpoint.Timeout = e.millis(name, endpoint.Timeout)
	}
	var err error
	if endpoint.Headers, err = e.headers(signalPrefix, configured.Headers); err != nil {
		return Endpoint{}, err
	}
	u, source, err := e.address(signalPrefix, path, configured.Endpoint, endpoint.GRPC)
	if u == nil || err != nil {
		return Endpoint{}, err
	}
	endpoint.URL = u.String()
	if u.Scheme == "https" {
		endpoint.files = [3]string{e.signalOrCommon(signalPrefix, "CERTIFICATE", configured.Certificate), e.signalOrCommon(signalPrefix, "CLIENT_CERTIFICATE", configured.ClientCertificate),
			e.signalOrCommon(signalPrefix, "CLIENT_KEY", configured.ClientKey)}
		if endpoint.TLS, err = tlsConfig(endpoint.files); err != nil {
			return Endpoint{}, fmt.Errorf("certificates of %s: %w", source, err)
		}
	}
	return endpoint, nil
}

// signalOrCommon returns the value of the signal's own variable, else of the common one, else the
// fallback.
func (e *environment) signalOrCommon(signalPrefix, name, fallback string) string {
	return cmp.Or(e.get(signalPrefix+name), e.get(commonPrefix+name), fallback)
}

// signalOrCommonChoice is like signalOrCommon for a choice. It validates only the variable that
// takes effect, so that a warning names that one.
func (e *environment) signalOrCommonChoice(signalPrefix, name, fallback string, known ...string) string {
	if e.get(signalPrefix+name) != "" {
		return e.choice(signalPrefix+name, fallback, known...)
	}
	return e.choice(commonPrefix+name, fallback, known...)
}

// headers returns the headers of the settings, overridden by the common variable and then by the
// signal's own.
func (e *environment) headers(signalPrefix string, configured map[string]string) (map[string]string, error) {
	headers := map[string]string{}
	maps.Copy(headers, configured)
	for _, name := range []string{commonPrefix + "HEADERS", signalPrefix + "HEADERS"} {
		pairs, err := parsePairs(e.get(name))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		maps.Copy(headers, pairs)
	}
	return headers, nil
}

// address returns the URL that a signal is sent to, nil if there is none, and the name of the
// variable or key that it comes from.
func (e *environment) address(signalPrefix, path, configured string, grpc bool) (u *url.URL, source string, err error) {
	signalAddress, commonAddress := e.get(signalPrefix+"ENDPOINT"), e.get(commonPrefix+"ENDPOINT")
	source = signalPrefix + "ENDPOINT"
	if signalAddress == "" {
		source = commonPrefix + "ENDPOINT"
		if commonAddress == "" {
			commonAddress, source = configured, "telemetry.otlp.endpoint"
		}
	}
	if cmp.Or(signalAddress, commonAddress) == "" {
		return nil, source, nil
	}
	u, err = parseEndpoint(cmp.Or(signalAddress, commonAddress), grpc, e.signalOrCommon(signalPrefix, "INSECURE", "") == "true")
	if err != nil {
		return nil, source, fmt.Errorf("%s: %w", source, err)
	}
	if grpc {
		u.Path = ""
	} else if signalAddress == "" {
		u.Path = strings.TrimSuffix(u.Path, "/") + path
	}
	return u, source, nil
}

// parseEndpoint parses the URL of an endpoint. For gRPC the scheme may be left out: it is then http
// if insecure is true, else https.
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

// tlsConfig reads the PEM files of the trusted certificate authorities, the client certificate and
// its key. An empty first name selects the system's authorities; an empty second and third one, no
// client certificate.
func tlsConfig(files [3]string) (*tls.Config, error) {
	ca, certificate, key := files[0], files[1], files[2]
	config := &tls.Config{MinVersion: tls.VersionTLS12}
	if ca != "" {
		text, err := os.ReadFile(ca)
		if err != nil {
			return nil, err
		}
		config.RootCAs = x509.NewCertPool()
		if !config.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s holds no certificate", ca)
		}
	}
	if (certificate == "") != (key == "") {
		return nil, errors.New("a client's certificate and its key go together")
	}
	if certificate != "" {
		pair, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			return nil, err
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return config, nil
}

// parsePairs parses a list of the form key=value,key=value with percent-encoded values. Source: W3C
// Baggage, as the OpenTelemetry specification refers to it.
func parsePairs(text string) (map[string]string, error) {
	out := map[string]string{}
	for pair := range strings.SplitSeq(text, ",") {
		if strings.TrimSpace(pair) == "" {
			continue
		}
		key, value, found := strings.Cut(pair, "=")
		key = strings.TrimSpace(key)
		decoded, err := url.PathUnescape(strings.TrimSpace(value))
		if !found || key == "" || err != nil {
			return nil, fmt.Errorf("%q is not written key=value", strings.TrimSpace(key))
		}
		out[key] = decoded
	}
	return out, nil
}
