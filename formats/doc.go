// Package formats compares the messages that nodes store and send with those of the last
// released version: a node of that version must read what this one writes, and the other way
// round. docs/formats.md describes them. The package is for development only.
package formats
