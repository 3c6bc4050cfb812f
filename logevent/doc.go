// Package logevent writes numbered log events as JSON lines through zap.
//
// Each event has a fixed number, name, level and message. The numbers are
// stable: an event that is no longer written keeps its number reserved.
// docs/log-events.md is generated from Table. To add an event, add its
// constant and its row to the file of its area, then regenerate the page with
// `cactusreel events --markdown`.
package logevent
