// Package manifestcheck looks for mistakes in a manifest before operators send it: entries
// without an effect, limits that contradict each other, and what differs from the version in
// force. It is pure; adapters parse the documents.
package manifestcheck
