package api

// specField is a kind's spec field: its name in JSON and whether it is set.
type specField struct {
	kind Kind
	name string
	set  bool
}
