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

// wrongType returns the error of a value that is not of the wanted kind.
func wrongType(want string, v any) error { return fmt.Errorf("%s is wanted, not %s", want, kindOf(v)) }

// kindOf returns a value, or its kind if it is long, as errors show it.
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

// nonEmptyString checks a text that holds more than white space.
func nonEmptyString(v any) (any, error) {
	s, ok := v.(string)
	if !ok {
		return nil, wrongType("a text in quotes", v)
	}
	if strings.TrimSpace(s) == "" {
		return nil, fmt.Errorf("it is empty")
	}
	return s, nil
}

// boolean checks a Boolean.
func boolean(v any) (any, error) {
	b, ok := v.(bool)
	if !ok {
		return nil, wrongType("true or false", v)
	}
	return b, nil
}

// stringList checks a list of different texts that are not empty.
func stringList(v any) (any, error) {
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

// stringTable checks a table whose values are texts.
func stringTable(v any) (any, error) {
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

// address checks a host and port.
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

// oneOf checks a text that is one of some.
func oneOf(allowed ...string) func(any) (any, error) {
	return func(v any) (any, error) {
		if s, ok := v.(string); ok && slices.Contains(allowed, s) {
			return s, nil
		}
		return nil, fmt.Errorf("%s is none of %s", kindOf(v), strings.Join(allowed, ", "))
	}
}

// integer checks an integer within bounds.
func integer(minimum, maximum int64) func(any) (any, error) {
	return func(v any) (any, error) {
		n, ok := v.(int64)
		if !ok {
			return nil, wrongType("a whole number", v)
		}
		if n < minimum || n > maximum {
			return nil, fmt.Errorf("%d is not from %d to %d", n, minimum, maximum)
		}
		return n, nil
	}
}

// number checks a number within bounds.
func number(minimum, maximum float64) func(any) (any, error) {
	return func(v any) (any, error) {
		x, ok := v.(float64)
		if n, isWhole := v.(int64); isWhole {
			x, ok = float64(n), true
		}
		if !ok {
			return nil, wrongType("a number", v)
		}
		if math.IsNaN(x) || x < minimum || x > maximum {
			return nil, fmt.Errorf("%g is not from %g to %g", x, minimum, maximum)
		}
		return x, nil
	}
}

// duration reads a time such as "250ms", from a minimum to maxDuration.
func duration(minimum time.Duration) func(any) (any, error) {
	return func(v any) (any, error) {
		s, ok := v.(string)
		if !ok {
			return nil, wrongType(`a time such as "10s" or "250ms"`, v)
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

// micros reads a time as microseconds, as the platform's form has it.
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

// units are those of sizes. B is last, as all others end with it.
var units = []struct {
	name  string
	bytes int64
}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// size reads a number of bytes such as "4MB", in powers of 1,024, within bounds in bytes.
func size(minimum, maximum int64) func(any) (any, error) {
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
			if n*u.bytes < minimum || n*u.bytes > maximum {
				return nil, fmt.Errorf("%s is not from %s to %s", s, bytesText(minimum), bytesText(maximum))
			}
			return n * u.bytes, nil
		}
		return nil, fmt.Errorf(`%q is no size such as "4MB"`, s)
	}
}

// bytesText returns a size in the largest unit that it holds.
func bytesText(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if n >= units[u].bytes {
			return fmt.Sprintf("%d%s", n/units[u].bytes, units[u].name)
		}
	}
	return fmt.Sprintf("%dB", n)
}

// megabytes reads a size as MiB, within bounds in MiB.
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

// knownColumns returns an error for a column that load reports can't hold.
func knownColumns(list []any) error {
	for _, name := range list {
		if !wire.KnownColumn(name.(string)) {
			return fmt.Errorf("%q is no figure of a load report", name)
		}
	}
	return nil
}
