package settings

import (
	"fmt"
	"strings"
)

const pageHead = `# Settings of cactusreel entry

This page is generated from the table in package settings:
` + "`cactusreel settings reference > docs/settings.md`" + `.

The file is in INI format. Every line holds one ` + "`key = value`" + `; a comment stands
on its own line and begins with ` + "`#` or `;`" + `. Unknown sections and keys, repeated
keys, missing required keys and values out of range are all reported at once by
` + "`cactusreel settings check FILE`" + `, which exits with 2 if there is any. Examples:
` + "`examples/consortium.ini` and `examples/bensalama.ini`" + `.
`

// Markdown returns the reference page docs/settings.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, section := range sectionNames() {
		fmt.Fprintf(&b, "\n## [%s]\n\n| key | unit | accepted | default | meaning |\n|---|---|---|---|---|\n", section)
		for _, k := range keys() {
			if k.section != section {
				continue
			}
			defaultText := k.defaultValue
			switch {
			case k.optional:
				defaultText = "empty"
			case defaultText == "":
				defaultText = "required"
			}
			meaning := k.meaning
			if k.shared {
				meaning += " **Must be the same on all entry VMs.**"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", k.name, k.unit, k.accepted, defaultText, meaning)
		}
	}
	fmt.Fprintf(&b, "\n## [%sDATA_CENTRE]\n\n", peersPrefix)
	b.WriteString("One section for each data centre. Each key is the id of an entry VM, its value the\n" +
		"address on which that VM listens for peers (" + addressAccepted + ").\n" +
		"Ids and addresses are unique. This VM may be listed, so that all VMs can share the sections.\n")
	b.WriteString("\n## Rules between times\n\n| key | must be |\n|---|---|\n")
	for _, c := range constraints {
		fmt.Fprintf(&b, "| `%s` | %s |\n", c.keys[0], c.accepted)
	}
	return b.String()
}
