package metrics

import (
	"strconv"
	"strings"
)

// Name returns the registry name of a metric with labels, which are given as
// alternating keys and values: Name("requests", "code", "1001") is
// `requests{code="1001"}`. A key without a value gets the empty value.
func Name(base string, labels ...string) string {
	if len(labels) == 0 {
		return base
	}
	if len(labels)%2 == 1 {
		labels = append(labels[:len(labels):len(labels)], "")
	}
	var b strings.Builder
	b.WriteString(base)
	for i := 0; i < len(labels); i += 2 {
		b.WriteByte("{,"[min(i, 1)])
		b.WriteString(sanitise(labels[i]))
		b.WriteByte('=')
		b.WriteString(quote(labels[i+1]))
	}
	b.WriteByte('}')
	return b.String()
}

// split returns the sanitised base name and the labels without braces.
func split(name string) (base, labels string) {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return sanitise(name), ""
	}
	return sanitise(base), strings.TrimSuffix(labels, "}")
}

// sanitise replaces what the Prometheus format does not allow in a name.
func sanitise(name string) string {
	valid := func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == ':':
			return r
		}
		return '_'
	}
	clean := strings.Map(valid, name)
	if clean == "" || (clean[0] >= '0' && clean[0] <= '9') {
		return "_" + clean
	}
	return clean
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func quote(value string) string {
	return `"` + labelEscapes.Replace(value) + `"`
}

func number(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
