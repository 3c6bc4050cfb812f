package settings

import (
	"fmt"
	"os"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings file. The peers of a deployment of the planned
// scale take about 6 KB.
const maxFileBytes = 1 << 20

// Load reads a settings file. An error of type Mistakes lists every unknown,
// missing and repeated key and every invalid value; any other means that the file
// can't be read.
func Load(path string) (Entry, error) {
	info, err := os.Stat(path)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	if info.Size() > maxFileBytes {
		return Entry{}, fmt.Errorf("read settings: %s has %d bytes; accepted: at most %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads the content of a settings file; name is the file name for messages.
func Parse(name string, data []byte) (Entry, error) {
	options := ini.LoadOptions{
		// Shadows keep the values of repeated keys, so that the repetition can be
		// reported.
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		// A line without a value becomes an invalid value instead of a parse
		// error.
		AllowBooleanKeys:    true,
		IgnoreInlineComment: true,
		IgnoreContinuation:  true,
		KeyValueDelimiters:  "=",
	}
	file, err := ini.LoadSources(options, data)
	if err != nil {
		return Entry{}, Mistakes{{File: name, Section: "", Key: "", Problem: err.Error(), Accepted: "sections, and lines of the form key = value"}}
	}
	l := &loader{fileName: name, file: file}
	l.readKeys()
	l.readPeers()
	l.reportUnknownKeys()
	l.checkConstraints()
	if len(l.mistakes) > 0 {
		return l.entry, l.mistakes
	}
	return l.entry, nil
}
