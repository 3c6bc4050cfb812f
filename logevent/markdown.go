package logevent

import (
	"fmt"
	"strings"
)

const pageHead = `# Log events

This page is generated from the table in package logevent:
` + "`cactusreel events --markdown > docs/log-events.md`" + `.

The daemon writes one JSON object per line to standard output with the fields
` + "`time`, `level`, `message`, `event` (the number) and `name`" + `, and the fields of the
event. Numbers are stable; the number of a removed event is not used again.
`

// areaTitles holds the title of each area under its number divided by rangeSize.
var areaTitles = map[Number]string{
	1: "Process",
	2: "Ownership",
	3: "Tasks and placement",
	4: "Request path",
	5: "Resources",
	6: "Peers and freshness",
	7: "Platform",
	8: "Coordinator",
}

// rangeSize is how many event numbers each area has.
const rangeSize = 100

// Markdown returns the page docs/log-events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(pageHead)
	area := Number(0)
	for _, info := range Table() {
		if info.Number/rangeSize != area {
			area = info.Number / rangeSize
			fmt.Fprintf(&b, "\n## %dxx %s\n\n", area, areaTitles[area])
			b.WriteString("| event | name | level | message | fields | action |\n|---|---|---|---|---|---|\n")
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			info.Number, info.Name, info.Level, info.Message, strings.Join(info.Fields, ", "), info.Action)
	}
	return b.String()
}
