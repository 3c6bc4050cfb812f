package httpapi

import (
	"github.com/cactusreel/cactusreel/hostapi"
)

// RenewRequest is the request body of POST /agent/renew.
type RenewRequest struct {
	hostapi.Command
	Renewals []hostapi.Renewal `json:"renewals"`
}
