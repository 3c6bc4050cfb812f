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
		b.WriteString(quoteLabel(labels[i+1]))
	}
	b.WriteByte('}')
	return b.String()
}

// splitName returns the sanitised base name and the labels without braces.
func splitName(name string) (base, labels string) {
	base, labels, found := strings.Cut(name, "{")
	if !found {
		return sanitise(name), ""
	}
	return sanitise(base), strings.TrimSuffix(labels, "}")
}

// sanitise replaces the characters that the Prometheus format does not allow in
// a name.
func sanitise(name string) string {
	replaceInvalid := func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_', r == ':':
			return r
		}
		return '_'
	}
	sanitised := strings.Map(replaceInvalid, name)
	if sanitised == "" || (sanitised[0] >= '0' && sanitised[0] <= '9') {
		return "_" + sanitised
	}
	return sanitised
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func quoteLabel(value string) string {
	return `"` + labelEscapes.Replace(value) + `"`
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}
