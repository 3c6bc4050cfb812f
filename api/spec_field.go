package api

// specField describes the spec field of a kind: its name in JSON and whether a
// resource sets it.
type specField struct {
	kind Kind
	name string
	set  bool
}
