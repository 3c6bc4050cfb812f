package replay

import "github.com/cactusreel/cactusreel/dedup"

// dedupConfig is the configuration of a request table of one VM.
type dedupConfig struct {
	DataCentre string `json:"dataCentre"`
	Cell       int    `json:"cell"`
	// DataCentres maps every declared data centre to its number of cells.
	DataCentres map[string]int `json:"dataCentres"`
	Limits      dedup.Limits   `json:"limits"`
}
