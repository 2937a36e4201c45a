package settings

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/wire"
)

// field is one key of the file: what it may hold, what it is without a word, and where
// its value goes.
type field struct {
	key      string
	read     func(any) (any, error) // from TOML's value to the platform's or our own
	to       string                 // path in the platform's form; empty for ours
	fallback any                    // as TOML would have it; nil for none
}

// Times of the platform's form are microseconds.
const microsecond = time.Microsecond

// longest is the largest time that a key may hold; the platform's form has the same.
const longest = time.Duration(1<<50) * time.Microsecond

// schema holds the keys outside of the lists of classes and runners.
var schema = []field{
	{"name", text, "name", "frosttide"},
	{"seed", text, "seed", nil},
	{"listen.clients", address, "listen", "127.0.0.1:8081"},
	{"listen.console", address, "console", nil},
	{"discovery.address", address, "discovery", nil},
	{"discovery.list", oneOf("asked", "pushed"), "", "asked"},
	{"discovery.ask_within", micros(time.Millisecond), "settings.rules.ask-within", "10s"},
	{"fleet.zones", words, "settings.zones", nil},
	{"fleet.zone", text, "", nil},
	{"fleet.kinds", words, "settings.kinds", nil},
	{"fleet.dispatchers", whole(1, 1<<16), "settings.balancers", int64(1)},
	{"fleet.number", whole(0, 1<<16), "settings.me", int64(0)},
	{"fleet.tells_start", flag, "settings.family-info.tells-start", true},
	{"fleet.weights", flag, "", false},
	{"fleet.far_price", number(0, 1), "settings.deductions.cross-zone", 0.0},
	{"attempts.most", whole(1, 64), "settings.policy-limits.send-cap", int64(4)},
	{"attempts.second_copies", flag, "settings.policy-limits.second-copies", false},
	{"attempts.may_cancel", flag, "settings.policy-limits.may-cancel", true},
	{"attempts.connect_timeout", micros(time.Millisecond), "settings.policy-limits.connect-timeout", "250ms"},
	{"attempts.keepalive", micros(time.Millisecond), "settings.policy-limits.keepalive", "5s"},
	{"refusals.retry_after", flag, "settings.policy-limits.retry-after", true},
	{"refusals.most_wait", micros(0), "settings.policy-limits.max-retry-after", "2s"},
	{"probes.allowed", flag, "settings.policy-limits.probing", true},
	{"probes.report", oneOf("none", "probe", "answers"), "settings.report.source", "none"},
	{"probes.columns", words, "settings.report.columns", nil},
	{"probes.free_slots", text, "", nil},
	{"cold.starts_at", number(0, 1), "settings.rules.cold-from", 1.0},
	{"cold.warm_within", micros(0), "settings.rules.warm-within", "0s"},
	{"cold.falls_at", number(0, 1000), "settings.rules.fall-multiple", 1.0},
	{"cold.falls_within", micros(0), "settings.rules.fall", "1s"},
	{"drain.grace", micros(0), "settings.rules.drain-grace", "500ms"},
	{"limits.cores", number(0.01, 1024), "limits.cores", 1.0},
	{"limits.memory", megabytes(32, 1<<20), "limits.memory_mb", "192MB"},
	{"limits.sockets", whole(64, 1<<20), "limits.sockets", int64(1024)},
	{"log.level", oneOf("error", "warn", "info", "debug"), "", "info"},
	{"log.format", oneOf("text", "json"), "", "text"},
	{"gearman.listen", address, "", nil},
	{"gearman.functions", table, "", nil},
	{"gearman.zone", text, "", nil},
	{"gearman.kind", text, "", nil},
	{"gearman.connections", whole(1, 1<<16), "", int64(256)},
	{"gearman.jobs", whole(1, 1<<20), "", int64(1000)},
	{"gearman.packet", size(1<<10, 64<<20), "", "1MB"},
	{"gearman.certificate", text, "", nil},
	{"gearman.key", text, "", nil},
	{"gearman.client_certificates", text, "", nil},
	{"state.dir", text, "", nil},
	{"state.generations", whole(2, 100), "", int64(DefaultStateGenerations)},
	{"state.every", span(10 * time.Millisecond), "", "1s"},
	{"state.fresh", span(0), "", "2m"},
	{"state.old", span(0), "", "1h"},
	{"state.max_age", span(time.Second), "", "168h"},
	{"state.doubt_for", span(time.Second), "", "30s"},
	{"state.doubt_share", number(0, 1), "", 0.5},
	{"cluster.listen", address, "", nil},
	{"cluster.advertise", address, "", nil},
	{"cluster.join", words, "", nil},
	{"cluster.voters", words, "", nil},
	{"cluster.dir", text, "", nil},
	{"cluster.discovery", text, "", nil},
	{"cluster.plain_text", flag, "", false},
	{"telemetry.service", text, "", nil},
	{"telemetry.attributes", table, "", nil},
	{"telemetry.plain", number(0, 1), "", nil},
	{"telemetry.measures_every", span(100 * time.Millisecond), "", nil},
	{"telemetry.batch_every", span(10 * time.Millisecond), "", nil},
	{"telemetry.queue", size(64<<10, 64<<20), "", nil},
	{"telemetry.otlp.endpoint", text, "", nil},
	{"telemetry.otlp.protocol", oneOf("http/protobuf", "grpc"), "", nil},
	{"telemetry.otlp.headers", table, "", nil},
	{"telemetry.otlp.timeout", span(10 * time.Millisecond), "", nil},
	{"telemetry.otlp.compression", oneOf("none", "gzip"), "", nil},
	{"telemetry.otlp.certificate", text, "", nil},
	{"telemetry.otlp.client_certificate", text, "", nil},
	{"telemetry.otlp.client_key", text, "", nil},
	{"telemetry.otlp.traces", flag, "", nil},
	{"telemetry.otlp.measures", flag, "", nil},
	{"telemetry.file.path", text, "", nil},
	{"telemetry.file.max_size", size(64<<10, 1<<40), "", nil},
	{"telemetry.file.max_files", whole(1, 1000), "", nil},
}

// classes holds the keys of each [[class]].
var classes = []field{
	{"name", text, "name", nil},
	{"effect", oneOf("safe", "keyed", "unsafe"), "effect", "safe"},
	{"repeats_dropped_by", oneOf("all", "zone", "cell"), "group", "all"},
	{"window", micros(0), "window", "0s"},
	{"wanted_within", micros(time.Millisecond), "aim", nil},
	{"stretch", number(0, 1000), "aim-stretch", 0.0},
	{"give_up", micros(time.Millisecond), "give-up", nil},
	{"worth", number(0, 1e9), "worth", 1.0},
	{"late_worth", number(0, 1), "late-worth", 0.0},
	{"kind", text, "", nil},
	{"priority", whole(0, 1000), "", int64(0)},
}

// tenants holds the keys of each [[tenant]].
var tenants = []field{
	{"name", text, "name", nil},
	{"per_second", number(0, 1e9), "quota-per-s", 0.0},
}

// runners holds the keys of each [[runner]], a fixed list in place of discovery.
var runners = []field{
	{"id", text, "uid", nil},
	{"address", address, "endpoint", nil},
	{"zone", text, "az", nil},
	{"kind", text, "model", nil},
	{"cell", whole(0, 1<<30), "pod_group", int64(0)},
	{"weight", number(0, 1e6), "capacity_hint", 1.0},
}

// secret are the keys whose values nobody is shown.
var secret = map[string]bool{"telemetry.otlp.headers": true}

// required are the keys that have no value without a word.
var required = map[string]bool{"name": true, "wanted_within": true, "give_up": true, "id": true, "address": true}

func wrongType(want string, v any) error { return fmt.Errorf("%s is wanted, not %s", want, kindOf(v)) }

func kindOf(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return fmt.Sprint(v)
	}
}

func text(v any) (any, error) {
	s, ok := v.(string)
	if !ok {
		return nil, wrongType("a text in quotes", v)
	}
	if strings.TrimSpace(s) == "" {
		return nil, fmt.Errorf("it is empty")
	}
	return s, nil
}

func flag(v any) (any, error) {
	b, ok := v.(bool)
	if !ok {
		return nil, wrongType("true or false", v)
	}
	return b, nil
}

func words(v any) (any, error) {
	list, ok := v.([]any)
	if !ok {
		return nil, wrongType(`a list such as ["a", "b"]`, v)
	}
	for i, w := range list {
		if s, ok := w.(string); !ok || s == "" {
			return nil, fmt.Errorf("its item %d is no text", i+1)
		} else if slices.Index(list, w) < i {
			return nil, fmt.Errorf("%q is there twice", s)
		}
	}
	return list, nil
}

// table holds names with a text each.
func table(v any) (any, error) {
	m, ok := v.(map[string]any)
	if !ok {
		return nil, wrongType(`a table such as {key = "value"}`, v)
	}
	out := map[string]string{}
	for k, v := range m {
		s, ok := v.(string)
		if !ok {
			return nil, fmt.Errorf("its value of %q is no text", k)
		}
		out[k] = s
	}
	return out, nil
}

func address(v any) (any, error) {
	s, ok := v.(string)
	if !ok {
		return nil, wrongType(`an address such as "127.0.0.1:8081"`, v)
	}
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return nil, fmt.Errorf("%q is no address such as 127.0.0.1:8081", s)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return nil, fmt.Errorf("%q is not a port", port)
	}
	return s, nil
}

func oneOf(words ...string) func(any) (any, error) {
	return func(v any) (any, error) {
		if s, ok := v.(string); ok && slices.Contains(words, s) {
			return s, nil
		}
		return nil, fmt.Errorf("%s is none of %s", kindOf(v), strings.Join(words, ", "))
	}
}

func whole(least, most int64) func(any) (any, error) {
	return func(v any) (any, error) {
		n, ok := v.(int64)
		if !ok {
			return nil, wrongType("a whole number", v)
		}
		if n < least || n > most {
			return nil, fmt.Errorf("%d is not from %d to %d", n, least, most)
		}
		return n, nil
	}
}

func number(least, most float64) func(any) (any, error) {
	return func(v any) (any, error) {
		x, ok := v.(float64)
		if n, isWhole := v.(int64); isWhole {
			x, ok = float64(n), true
		}
		if !ok {
			return nil, wrongType("a number", v)
		}
		if math.IsNaN(x) || x < least || x > most {
			return nil, fmt.Errorf("%g is not from %g to %g", x, least, most)
		}
		return x, nil
	}
}

// span reads a time such as "250ms".
func span(least time.Duration) func(any) (any, error) {
	return func(v any) (any, error) {
		s, ok := v.(string)
		if !ok {
			return nil, wrongType(`a time such as "10s" or "250ms"`, v)
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, fmt.Errorf(`%q is no time such as "10s" or "250ms"`, s)
		}
		if d < least || d > longest {
			return nil, fmt.Errorf("%s is not from %s to %s", d, least, longest)
		}
		return d, nil
	}
}

// micros reads a time for the platform's form.
func micros(least time.Duration) func(any) (any, error) {
	read := span(least)
	return func(v any) (any, error) {
		d, err := read(v)
		if err != nil {
			return nil, err
		}
		return int64(d.(time.Duration) / microsecond), nil
	}
}

var units = []struct {
	name  string
	bytes int64
}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// size reads a number of bytes such as "4MB", in powers of 1,024.
func size(least, most int64) func(any) (any, error) {
	return func(v any) (any, error) {
		s, ok := v.(string)
		if !ok {
			return nil, wrongType(`a size such as "4MB"`, v)
		}
		for _, u := range units {
			digits, found := strings.CutSuffix(s, u.name)
			if !found {
				continue
			}
			n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
			if err != nil {
				break
			}
			if n*u.bytes < least || n*u.bytes > most {
				return nil, fmt.Errorf("%s is not from %s to %s", s, bytesText(least), bytesText(most))
			}
			return n * u.bytes, nil
		}
		return nil, fmt.Errorf(`%q is no size such as "4MB"`, s)
	}
}

func bytesText(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if n >= units[u].bytes {
			return fmt.Sprintf("%d%s", n/units[u].bytes, units[u].name)
		}
	}
	return fmt.Sprintf("%dB", n)
}

func megabytes(least, most int64) func(any) (any, error) {
	read := size(least<<20, most<<20)
	return func(v any) (any, error) {
		n, err := read(v)
		if err != nil {
			return nil, err
		}
		return n.(int64) >> 20, nil
	}
}

// knownColumns are the words that load reports may use for what they hold.
func knownColumns(list []any) error {
	for _, name := range list {
		if !wire.KnownColumn(name.(string)) {
			return fmt.Errorf("%q is no figure of a load report", name)
		}
	}
	return nil
}
