package settings

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// maxValueShown bounds the bytes of a value in a message.
const maxValueShown = 64

// loader reads one file and collects its mistakes.
type loader struct {
	fileName string
	file     *ini.File
	entry    Entry
	mistakes Mistakes
}

func (l *loader) addMistake(section, name, problem, accepted string) {
	l.mistakes = append(l.mistakes, Mistake{l.fileName, section, name, problem, accepted})
}

func (l *loader) readKeys() {
	for _, k := range keys() {
		value, present := l.value(k.section, k.name)
		switch {
		case !present && k.defaultValue == "" && !k.optional:
			l.addMistake(k.section, k.name, "missing", k.accepted+" ("+k.unit+")")
		case !present:
			k.parseInto(&l.entry, k.defaultValue)
		case !k.parseInto(&l.entry, value):
			l.addMistake(k.section, k.name, "the value is "+quoted(value), k.accepted+" ("+k.unit+")")
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
		l.addMistake(section, name, fmt.Sprintf("present %d times", len(values)), "each key once")
	}
	return s.Key(name).Value(), true
}

func (l *loader) reportUnknownKeys() {
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
			l.addMistake(name, "", "unknown section", strings.Join(sectionNames(), ", ")+", "+peersPrefix+"DATA_CENTRE")
			continue
		}
		for _, k := range section.Keys() {
			if !slices.Contains(names, k.Name()) {
				l.addMistake(name, k.Name(), "unknown key", acceptedKeys(names))
			}
		}
	}
}

// acceptedKeys lists the keys of a section for a message; names is empty for
// keys before the first section.
func acceptedKeys(names []string) string {
	if len(names) == 0 {
		return "no keys before the first section"
	}
	return strings.Join(names, ", ")
}

// sectionNames lists the sections with fixed keys in the order of the reference
// page.
func sectionNames() []string {
	var names []string
	for _, k := range keys() {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return names
}

func quoted(value string) string {
	if len(value) > maxValueShown {
		value = strings.ToValidUTF8(value[:maxValueShown], "") + "..."
	}
	return fmt.Sprintf("%q", value)
}
