package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxValueShown bounds a value in a message.
const maxValueShown = 64

// loader reads one file and collects its mistakes.
type loader struct {
	name     string
	file     *ini.File
	entry    Entry
	mistakes Mistakes
}

func (l *loader) add(section, name, problem, accepted string) {
	l.mistakes = append(l.mistakes, Mistake{l.name, section, name, problem, accepted})
}

func (l *loader) readKeys() {
	for _, k := range keys() {
		value, present := l.value(k.section, k.name)
		switch {
		case !present && k.preset == "" && !k.optional:
			l.add(k.section, k.name, "missing", k.accepted+" ("+k.unit+")")
		case !present:
			k.set(&l.entry, k.preset)
		case !k.set(&l.entry, value):
			l.add(k.section, k.name, "the value is "+quote(value), k.accepted+" ("+k.unit+")")
		}
	}
}

// value returns the value of a key and whether the key is present.
func (l *loader) value(section, name string) (string, bool) {
	s, err := l.file.GetSection(section)
	if err != nil || !s.HasKey(name) {
		return "", false
	}
	values := s.Key(name).ValueWithShadows()
	if len(values) > 1 {
		l.add(section, name, fmt.Sprintf("present %d times", len(values)), "each key once")
	}
	return s.Key(name).Value(), true
}

func (l *loader) findUnknown() {
	known := make(map[string][]string)
	for _, k := range keys() {
		known[k.section] = append(known[k.section], k.name)
	}
	for _, section := range l.file.Sections() {
		name := section.Name()
		names, ok := known[name]
		isDefault := name == ini.DefaultSection
		if strings.HasPrefix(name, peersPrefix) || (isDefault && len(section.Keys()) == 0) {
			continue
		}
		if !ok && !isDefault {
			l.add(name, "", "unknown section", strings.Join(sections(), ", ")+", "+peersPrefix+"DATA_CENTRE")
			continue
		}
		for _, k := range section.Keys() {
			if !slices.Contains(names, k.Name()) {
				l.add(name, k.Name(), "unknown key", unknownAccepted(names))
			}
		}
	}
}

func unknownAccepted(names []string) string {
	if len(names) == 0 {
		return "no keys before the first section"
	}
	return strings.Join(names, ", ")
}

// sections lists the sections with fixed keys in the order of the page.
func sections() []string {
	var names []string
	for _, k := range keys() {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return names
}

func quote(value string) string {
	if len(value) > maxValueShown {
		value = strings.ToValidUTF8(value[:maxValueShown], "") + "..."
	}
	return fmt.Sprintf("%q", value)
}
