// Package operator serves the HTTP interface for operators under /v1.
//
// The handlers read resources from a Store, submit changes to a Submitter and
// answer with the outcome that the log's order gave them. Every answer carries
// the header Cactusreel-Result; an error has the JSON body of type Failure.
package operator
