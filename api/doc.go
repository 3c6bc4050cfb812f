// Package api defines the resources that operators declare, each with spec,
// status and conditions, and their JSON form.
package api
