package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// maxDepth bounds the nesting of a document. Resources need five levels.
const maxDepth = 16

// jsonParser parses valid JSON and records repeated fields, which encoding/json
// accepts silently.
type jsonParser struct {
	decoder *json.Decoder
	faults  Faults
}

// parseJSON parses data, which must be valid JSON.
func parseJSON(data []byte) (jsonValue, Faults, error) {
	p := &jsonParser{decoder: json.NewDecoder(bytes.NewReader(data))}
	p.decoder.UseNumber()
	value, err := p.parseValue("", 0)
	return value, p.faults, err
}

func (p *jsonParser) parseValue(path string, depth int) (jsonValue, error) {
	token, err := p.decoder.Token()
	if err != nil {
		return nil, err
	}
	if depth > maxDepth {
		return nil, fmt.Errorf("more than %d levels of nesting", maxDepth)
	}
	switch token {
	case json.Delim('{'):
		return p.parseObject(path, depth)
	case json.Delim('['):
		return p.parseArray(path, depth)
	}
	return token, nil
}

func (p *jsonParser) parseObject(path string, depth int) (jsonValue, error) {
	members := jsonObject{}
	seen := make(map[string]bool)
	for p.decoder.More() {
		token, err := p.decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		// Names are compared case-insensitively, because encoding/json matches
		// them to struct fields that way.
		if folded := strings.ToLower(name); seen[folded] {
			p.faults = append(p.faults, Fault{Field: joinPath(path, name), Value: "repeated", Accepted: "each field once"})
		} else {
			seen[folded] = true
		}
		value, err := p.parseValue(joinPath(path, name), depth+1)
		if err != nil {
			return nil, err
		}
		members = append(members, jsonMember{name, value})
	}
	_, err := p.decoder.Token()
	return members, err
}

func (p *jsonParser) parseArray(path string, depth int) (jsonValue, error) {
	items := []jsonValue{}
	for p.decoder.More() {
		value, err := p.parseValue(indexPath(path, len(items)), depth+1)
		if err != nil {
			return nil, err
		}
		items = append(items, value)
	}
	_, err := p.decoder.Token()
	return items, err
}
