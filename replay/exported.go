package replay

import "github.com/cactusreel/cactusreel/dedup"

// exported is the content of the action "Exported".
type exported struct {
	VM     string     `json:"vm"`
	Serial uint64     `json:"serial"`
	Copy   dedup.Copy `json:"copy"`
}
