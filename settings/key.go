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
	// preset is the value of an absent key; a key without one is required
	// unless it is optional.
	preset string
	// optional is true if the key may be absent or empty.
	optional bool
	// meaning is one sentence for the reference page.
	meaning string
	// shared is true if the design relies on the same value at all entry VMs.
	shared bool
	// set parses a value into the settings and reports whether it is accepted.
	set func(e *Entry, value string) bool
}

// sameOnAll marks a key whose value all entry VMs must share: one VM relies on
// how long another one keeps a lease, a promise or a request.
func (k key) sameOnAll() key {
	k.shared = true
	return k
}

// durationKey accepts a duration from low to high, both included.
func durationKey(name string, field func(*Entry) *time.Duration, preset, low, high time.Duration, meaning string) key {
	return key{
		section:  "times",
		name:     name,
		unit:     "duration (ms, s, m, h)",
		accepted: formatDuration(low) + " to " + formatDuration(high),
		preset:   formatDuration(preset),
		meaning:  meaning,
		set: func(e *Entry, value string) bool {
			d, err := time.ParseDuration(value)
			*field(e) = d
			return err == nil && d >= low && d <= high
		},
	}
}

// countKey accepts a whole number from low to high, both included.
func countKey(name string, field func(*Entry) *int, preset, low, high int, meaning string) key {
	return key{
		section:  "limits",
		name:     name,
		unit:     "number",
		accepted: fmt.Sprintf("%d to %d", low, high),
		preset:   strconv.Itoa(preset),
		meaning:  meaning,
		set: func(e *Entry, value string) bool {
			n, err := strconv.Atoi(value)
			*field(e) = n
			return err == nil && n >= low && n <= high
		},
	}
}

// sizeKey accepts a number of bytes from low to high, both included.
func sizeKey[T int | int64](name string, field func(*Entry) *T, preset, low, high int64, meaning string) key {
	return key{
		section:  "limits",
		name:     name,
		unit:     "bytes (no suffix, KiB or MiB)",
		accepted: formatSize(low) + " to " + formatSize(high),
		preset:   formatSize(preset),
		meaning:  meaning,
		set: func(e *Entry, value string) bool {
			n, ok := parseSize(value)
			*field(e) = T(n)
			return ok && n >= low && n <= high
		},
	}
}

// percentKey accepts a percentage from low to high, both included, and stores
// it as a share of 1.
func percentKey(section, name string, field func(*Entry) *float64, preset, low, high float64, meaning string) key {
	return key{
		section:  section,
		name:     name,
		unit:     "percent",
		accepted: formatPercent(low) + " to " + formatPercent(high),
		preset:   formatPercent(preset),
		meaning:  meaning,
		set: func(e *Entry, value string) bool {
			digits, found := strings.CutSuffix(value, "%")
			p, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
			*field(e) = p / 100
			return found && err == nil && p >= low && p <= high
		},
	}
}

// textKey accepts the values for which valid is true. It is required if preset
// is empty.
func textKey(section, name, unit string, field func(*Entry) *string, valid func(string) bool, preset, accepted, meaning string) key {
	return key{
		section:  section,
		name:     name,
		unit:     unit,
		accepted: accepted,
		preset:   preset,
		meaning:  meaning,
		set: func(e *Entry, value string) bool {
			*field(e) = value
			return valid(value)
		},
	}
}

// mayBeEmpty makes a text key optional: absent and empty mean the same.
func (k key) mayBeEmpty() key {
	valid := k.set
	k.optional = true
	k.set = func(e *Entry, value string) bool {
		return valid(e, value) || value == ""
	}
	return k
}
