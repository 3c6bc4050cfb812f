package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// key is one key of the settings file.
type key struct {
	section string
	name    string
	// unit says how the value is written.
	unit string
	// accepted says which values are accepted.
	accepted string
	// defaultValue is the value of an absent key; a key without one is required
	// unless it is optional.
	defaultValue string
	// optional is true if the key may be absent or empty.
	optional bool
	// meaning describes the key on the reference page.
	meaning string
	// shared is true if the value must be the same on all entry VMs.
	shared bool
	// parseInto parses a value into the settings and reports whether it is
	// accepted.
	parseInto func(e *Entry, value string) bool
}

// sameOnAllVMs marks a key whose value must be the same on all entry VMs, because
// each VM relies on how long another one keeps a lease, a promise or a request id.
func (k key) sameOnAllVMs() key {
	k.shared = true
	return k
}

// durationKey accepts a duration from low to high, both included.
func durationKey(name string, field func(*Entry) *time.Duration, defaultValue, low, high time.Duration, meaning string) key {
	return key{
		section:      "times",
		name:         name,
		unit:         "duration (ms, s, m, h)",
		accepted:     formatDuration(low) + " to " + formatDuration(high),
		defaultValue: formatDuration(defaultValue),
		meaning:      meaning,
		parseInto: func(e *Entry, value string) bool {
			d, err := time.ParseDuration(value)
			*field(e) = d
			return err == nil && d >= low && d <= high
		},
	}
}

// countKey accepts a whole number from low to high, both included.
func countKey(name string, field func(*Entry) *int, defaultValue, low, high int, meaning string) key {
	return key{
		section:      "limits",
		name:         name,
		unit:         "number",
		accepted:     fmt.Sprintf("%d to %d", low, high),
		defaultValue: strconv.Itoa(defaultValue),
		meaning:      meaning,
		parseInto: func(e *Entry, value string) bool {
			n, err := strconv.Atoi(value)
			*field(e) = n
			return err == nil && n >= low && n <= high
		},
	}
}

// sizeKey accepts a number of bytes from low to high, both included.
func sizeKey[T int | int64](name string, field func(*Entry) *T, defaultValue, low, high int64, meaning string) key {
	return key{
		section:      "limits",
		name:         name,
		unit:         "bytes (no suffix, KiB or MiB)",
		accepted:     formatSize(low) + " to " + formatSize(high),
		defaultValue: formatSize(defaultValue),
		meaning:      meaning,
		parseInto: func(e *Entry, value string) bool {
			n, ok := parseSize(value)
			*field(e) = T(n)
			return ok && n >= low && n <= high
		},
	}
}

// percentKey accepts a percentage from low to high, both included, and stores
// it as a share of 1.
func percentKey(section, name string, field func(*Entry) *float64, defaultValue, low, high float64, meaning string) key {
	return key{
		section:      section,
		name:         name,
		unit:         "percent",
		accepted:     formatPercent(low) + " to " + formatPercent(high),
		defaultValue: formatPercent(defaultValue),
		meaning:      meaning,
		parseInto: func(e *Entry, value string) bool {
			digits, found := strings.CutSuffix(value, "%")
			p, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
			*field(e) = p / 100
			return found && err == nil && p >= low && p <= high
		},
	}
}

// textKey accepts the values for which valid returns true. It is required if
// defaultValue is empty.
func textKey(section, name, unit string, field func(*Entry) *string, valid func(string) bool, defaultValue, accepted, meaning string) key {
	return key{
		section:      section,
		name:         name,
		unit:         unit,
		accepted:     accepted,
		defaultValue: defaultValue,
		meaning:      meaning,
		parseInto: func(e *Entry, value string) bool {
			*field(e) = value
			return valid(value)
		},
	}
}

// orEmpty makes a text key optional; an absent key is the same as an empty value.
func (k key) orEmpty() key {
	valid := k.parseInto
	k.optional = true
	k.parseInto = func(e *Entry, value string) bool {
		return valid(e, value) || value == ""
	}
	return k
}
