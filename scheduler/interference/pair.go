package interference

// pair is an ordered pair of kinds in a load bucket.
type pair struct {
	victim, aggressor, bucket int32
}
