// Package operator serves the HTTP interface for operators under /v1.
//
// The handlers read resources from a Store, submit changes to a Submitter and
// respond with the outcome that the changes have in the order of the log. Every
// response carries the header Cactusreel-Result; an error has a JSON body of type
// Failure.
package operator
