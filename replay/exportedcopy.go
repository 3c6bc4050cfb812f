package replay

import "github.com/cactusreel/cactusreel/dedup"

// exportedCopy is the content of the action "Exported".
type exportedCopy struct {
	VM     string     `json:"vm"`
	Serial uint64     `json:"serial"`
	Copy   dedup.Copy `json:"copy"`
}
