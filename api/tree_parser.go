package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// maxDepth bounds the nesting of a document. Resources need five levels.
const maxDepth = 16

// treeParser parses a valid JSON text and records repeated fields, which
// encoding/json would accept without a word.
type treeParser struct {
	decoder *json.Decoder
	faults  Faults
}

// parseTree parses data, which must be valid JSON.
func parseTree(data []byte) (tree, Faults, error) {
	p := &treeParser{decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	t, err := p.value("", 0)
	return t, p.faults, err
}

func (p *treeParser) value(path string, depth int) (tree, error) {
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, fmt.Errorf("more than %d levels of nesting", maxDepth)
	}
	switch token {
	case json.Delim('{'):
		return p.object(path, depth)
	case json.Delim('['):
		return p.list(path, depth)
	}
	return token, nil
}

func (p *treeParser) object(path string, depth int) (tree, error) {
	fields := object{}
	seen := make(map[string]bool)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		// Names are compared without case because encoding/json matches them so.
		if folded := strings.ToLower(name); seen[folded] {
			p.faults = append(p.faults, Fault{Field: join(path, name), Value: "repeated", Accepted: "each field once"})
		} else {
			seen[folded] = true
		}
		value, err := p.value(join(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field{name, value})
	}
	_, err := p.decoder.Token()
	return fields, err
}

func (p *treeParser) list(path string, depth int) (tree, error) {
	items := []tree{}
	for p.decoder.More() {
		value, err := p.value(index(path, len(items)), depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, value)
	}
	_, err := p.decoder.Token()
	return items, err
}
