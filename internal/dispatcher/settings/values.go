package settings

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"frosttide/internal/dispatcher/wire"
)

// typeError returns the error for a value of the wrong type.
func typeError(want string, v any) error { return fmt.Errorf("%s is wanted, not %s", want, format(v)) }

// format formats a value for an error message, lists and tables by their type only.
func format(v any) string {
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

// nonEmptyString parses a string that does not consist of white space only.
func nonEmptyString(v any) (any, error) {
	s, ok := v.(string)
	if !ok {
		return nil, typeError("a text in quotes", v)
	}
	if strings.TrimSpace(s) == "" {
		return nil, fmt.Errorf("it is empty")
	}
	return s, nil
}

// boolean parses true or false.
func boolean(v any) (any, error) {
	b, ok := v.(bool)
	if !ok {
		return nil, typeError("true or false", v)
	}
	return b, nil
}

// stringList parses a list of distinct, non-empty strings.
func stringList(v any) (any, error) {
	list, ok := v.([]any)
	if !ok {
		return nil, typeError(`a list such as ["a", "b"]`, v)
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

// stringTable parses a table whose values are strings.
func stringTable(v any) (any, error) {
	m, ok := v.(map[string]any)
	if !ok {
		return nil, typeError(`a table such as {key = "value"}`, v)
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

// address parses an address of the form HOST:PORT with a port from 1 to 65535.
func address(v any) (any, error) {
	s, ok := v.(string)
	if !ok {
		return nil, typeError(`an address such as "127.0.0.1:8081"`, v)
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

// oneOf returns a parser for a string that must equal one of the allowed ones.
func oneOf(allowed ...string) func(any) (any, error) {
	return func(v any) (any, error) {
		if s, ok := v.(string); ok && slices.Contains(allowed, s) {
			return s, nil
		}
		return nil, fmt.Errorf("%s is none of %s", format(v), strings.Join(allowed, ", "))
	}
}

// integer returns a parser for an integer from minimum to maximum.
func integer(minimum, maximum int64) func(any) (any, error) {
	return func(v any) (any, error) {
		n, ok := v.(int64)
		if !ok {
			return nil, typeError("a whole number", v)
		}
		if n < minimum || n > maximum {
			return nil, fmt.Errorf("%d is not from %d to %d", n, minimum, maximum)
		}
		return n, nil
	}
}

// number returns a parser for an integer or floating-point number from minimum to maximum.
func number(minimum, maximum float64) func(any) (any, error) {
	return func(v any) (any, error) {
		x, ok := v.(float64)
		if n, isWhole := v.(int64); isWhole {
			x, ok = float64(n), true
		}
		if !ok {
			return nil, typeError("a number", v)
		}
		if math.IsNaN(x) || x < minimum || x > maximum {
			return nil, fmt.Errorf("%g is not from %g to %g", x, minimum, maximum)
		}
		return x, nil
	}
}

// duration returns a parser for a duration such as "250ms" from minimum to maxDuration.
func duration(minimum time.Duration) func(any) (any, error) {
	return func(v any) (any, error) {
		s, ok := v.(string)
		if !ok {
			return nil, typeError(`a time such as "10s" or "250ms"`, v)
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, fmt.Errorf(`%q is no time such as "10s" or "250ms"`, s)
		}
		if d < minimum || d > maxDuration {
			return nil, fmt.Errorf("%s is not from %s to %s", d, minimum, maxDuration)
		}
		return d, nil
	}
}

// micros returns a parser for a duration as duration does, but converts it to microseconds, the
// unit of the platform's form.
func micros(minimum time.Duration) func(any) (any, error) {
	read := duration(minimum)
	return func(v any) (any, error) {
		d, err := read(v)
		if err != nil {
			return nil, err
		}
		return int64(d.(time.Duration) / microsecond), nil
	}
}

// sizeUnits holds the units of sizes. B is last because all other units end with it.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// size returns a parser for a size such as "4MB" from minimum to maximum bytes. Units are powers of
// 1,024.
func size(minimum, maximum int64) func(any) (any, error) {
	return func(v any) (any, error) {
		s, ok := v.(string)
		if !ok {
			return nil, typeError(`a size such as "4MB"`, v)
		}
		for _, u := range sizeUnits {
			digits, found := strings.CutSuffix(s, u.name)
			if !found {
				continue
			}
			n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 32)
			if err != nil {
				break
			}
			if n*u.bytes < minimum || n*u.bytes > maximum {
				return nil, fmt.Errorf("%s is not from %s to %s", s, formatSize(minimum), formatSize(maximum))
			}
			return n * u.bytes, nil
		}
		return nil, fmt.Errorf(`%q is no size such as "4MB"`, s)
	}
}

// formatSize formats a size in bytes with the largest unit that does not exceed it, rounded down.
func formatSize(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if n >= sizeUnits[u].bytes {
			return fmt.Sprintf("%d%s", n/sizeUnits[u].bytes, sizeUnits[u].name)
		}
	}
	return fmt.Sprintf("%dB", n)
}

// megabytes returns a parser for a size from minimum to maximum MiB and converts it to MiB.
func megabytes(minimum, maximum int64) func(any) (any, error) {
	read := size(minimum<<20, maximum<<20)
	return func(v any) (any, error) {
		n, err := read(v)
		if err != nil {
			return nil, err
		}
		return n.(int64) >> 20, nil
	}
}

// checkColumns returns an error for a column whose name does not determine a metric of load
// reports.
func checkColumns(list []any) error {
	for _, name := range list {
		if !wire.KnownColumn(name.(string)) {
			return fmt.Errorf("%q is no figure of a load report", name)
		}
	}
	return nil
}
