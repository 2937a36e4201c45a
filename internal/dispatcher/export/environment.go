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

// environment reads OpenTelemetry's variables. Values that the specification has ignored are added to the warnings.
type environment struct {
	get      func(string) string
	warnings *[]string
}

func (e *environment) warn(name, reason string) {
	*e.warnings = append(*e.warnings, name+" is passed over: "+reason)
}

// positiveInt returns a variable's number, the fallback if it is not set or is no number above 0.
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

// millis returns a variable's time, which is written in milliseconds, up to a day.
func (e *environment) millis(name string, fallback time.Duration) time.Duration {
	ms := time.Duration(e.positiveInt(name, int(fallback/time.Millisecond)))
	return min(ms, 24*60*60*1000) * time.Millisecond
}

// flag reports whether a variable is true.
func (e *environment) flag(name string) bool {
	s := strings.ToLower(e.get(name))
	if s != "" && s != "true" && s != "false" {
		e.warn(name, strconv.Quote(s)+" is neither true nor false")
	}
	return s == "true"
}

// choice returns a variable's value if it is a known one, else the fallback.
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

// sampler returns the sampler of the variables, with the settings' ratio as the default. It is for plain records: notable
// ones are kept by every sampler but always_off.
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

// ratio returns a variable's number from 0 to 1, 1 if it is not set.
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

// The variables of all signals begin with commonPrefix, and those of one signal go on with its name.
const commonPrefix = "OTEL_EXPORTER_OTLP_"

// endpoint returns where a signal is sent: the signal's own variables take precedence over the common ones, and those
// over the settings. Path is added to a common address. Enabled is the settings' switch of the signal, nil for none.
func (e *environment) endpoint(signal, path string, set settings.OTLP, enabled *bool) (Endpoint, error) {
	own := commonPrefix + signal + "_"
	out := Endpoint{Timeout: cmp.Or(set.Timeout, defaultTimeout)}
	if exporter := e.choice("OTEL_"+signal+"_EXPORTER", "otlp", "otlp", "none"); exporter == "none" || enabled != nil && !*enabled {
		return Endpoint{}, nil
	}
	out.GRPC = e.ownOrCommonChoice(own, "PROTOCOL", cmp.Or(set.Protocol, "http/protobuf"), "http/protobuf", "grpc") == "grpc"
	out.Gzip = e.ownOrCommonChoice(own, "COMPRESSION", cmp.Or(set.Compression, "none"), "none", "gzip") == "gzip"
	for _, name := range []string{commonPrefix + "TIMEOUT", own + "TIMEOUT"} {
		out.Timeout = e.millis(name, out.Timeout)
	}
	var err error
	if out.Headers, err = e.headers(own, set.Headers); err != nil {
		return Endpoint{}, err
	}
	u, source, err := e.address(own, path, set.Endpoint, out.GRPC)
	if u == nil || err != nil {
		return Endpoint{}, err
	}
	out.URL = u.String()
	if u.Scheme == "https" {
		out.files = [3]string{e.ownOrCommon(own, "CERTIFICATE", set.Certificate), e.ownOrCommon(own, "CLIENT_CERTIFICATE", set.ClientCertificate),
			e.ownOrCommon(own, "CLIENT_KEY", set.ClientKey)}
		if out.TLS, err = tlsConfig(out.files); err != nil {
			return Endpoint{}, fmt.Errorf("certificates of %s: %w", source, err)
		}
	}
	return out, nil
}

// ownOrCommon returns the value of a signal's own variable, else of the common one, else the fallback.
func (e *environment) ownOrCommon(own, name, fallback string) string {
	return cmp.Or(e.get(own+name), e.get(commonPrefix+name), fallback)
}

// ownOrCommonChoice does the same for a choice, and reads the one variable that is set, so that a warning names it.
func (e *environment) ownOrCommonChoice(own, name, fallback string, known ...string) string {
	if e.get(own+name) != "" {
		return e.choice(own+name, fallback, known...)
	}
	return e.choice(commonPrefix+name, fallback, known...)
}

// headers returns the headers of the settings, to which the common variable and the signal's own add.
func (e *environment) headers(own string, set map[string]string) (map[string]string, error) {
	headers := map[string]string{}
	maps.Copy(headers, set)
	for _, name := range []string{commonPrefix + "HEADERS", own + "HEADERS"} {
		more, err := parsePairs(e.get(name))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		maps.Copy(headers, more)
	}
	return headers, nil
}

// address returns the URL that a signal is sent to, nil for none, and the name of the variable or key that it is from.
func (e *environment) address(own, path, set string, grpc bool) (u *url.URL, source string, err error) {
	ownAddress, commonAddress := e.get(own+"ENDPOINT"), e.get(commonPrefix+"ENDPOINT")
	source = own + "ENDPOINT"
	if ownAddress == "" {
		source = commonPrefix + "ENDPOINT"
		if commonAddress == "" {
			commonAddress, source = set, "telemetry.otlp.endpoint"
		}
	}
	if cmp.Or(ownAddress, commonAddress) == "" {
		return nil, source, nil
	}
	u, err = parseEndpoint(cmp.Or(ownAddress, commonAddress), grpc, e.ownOrCommon(own, "INSECURE", "") == "true")
	if err != nil {
		return nil, source, fmt.Errorf("%s: %w", source, err)
	}
	if grpc {
		u.Path = ""
	} else if ownAddress == "" {
		u.Path = strings.TrimSuffix(u.Path, "/") + path
	}
	return u, source, nil
}

// parseEndpoint returns the URL of an address. For gRPC the scheme may be left out; insecure says which one is meant.
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

// tlsConfig reads the files of the authorities to trust, of the client's certificate and of its key. An empty name leaves
// the choice to the system.
func tlsConfig(files [3]string) (*tls.Config, error) {
	ca, certificate, key := files[0], files[1], files[2]
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
	if (certificate == "") != (key == "") {
		return nil, errors.New("a client's certificate and its key go together")
	}
	if certificate != "" {
		pair, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			return nil, err
		}
		c.Certificates = []tls.Certificate{pair}
	}
	return c, nil
}

// parsePairs reads key=value,key=value, with percent-escapes in the values. Source: W3C Baggage, as OpenTelemetry's
// specification refers to it.
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
