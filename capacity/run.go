package capacity

import "fmt"

// Measurements returns the names of all measurements in the order of Run.
func Measurements() []string {
	return []string{"store", "cell", "declared", "claims", "records", "writer", "platform", "peers", "copies", "spread"}
}

// Run runs the named measurements, or all if no names are given. It stops at the
// first measurement that fails; the report then holds the earlier results.
func Run(names []string) (*Report, error) {
	if len(names) == 0 {
		names = Measurements()
	}
	r := &Report{}
	for _, name := range names {
		if err := r.measure(name); err != nil {
			return r, fmt.Errorf("%s: %w", name, err)
		}
	}
	return r, r.Err()
}

func (r *Report) measure(name string) error {
	switch name {
	case "store":
		return measureStore(r)
	case "cell":
		return measureCell(r)
	case "declared":
		measureDeclared(r)
		return nil
	case "claims":
		return measureClaims(r)
	case "records":
		return measureRecords(r)
	case "writer":
		return measureWriter(r)
	case "platform":
		return measurePlatform(r)
	case "peers":
		return measurePeers(r)
	case "copies":
		return measureCopies(r)
	case "spread":
		measureDissemination(r)
		return nil
	}
	return fmt.Errorf("unknown measurement; valid names are %v", Measurements())
}
