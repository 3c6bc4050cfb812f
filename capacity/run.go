package capacity

import "fmt"

// Measurements returns the names of all measurements in the order of Run.
func Measurements() []string {
	return []string{"store", "cell", "declared", "claims", "records", "writer", "platform", "peers", "copies", "spread"}
}

// Run makes the named measurements, all if there are none.
func Run(parts []string) (*Report, error) {
	if len(parts) == 0 {
		parts = Measurements()
	}
	r := &Report{}
	for _, part := range parts {
		if err := r.measure(part); err != nil {
			return r, fmt.Errorf("%s: %w", part, err)
		}
	}
	return r, r.Err()
}

func (r *Report) measure(part string) error {
	switch part {
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
		measureSpread(r)
		return nil
	}
	return fmt.Errorf("unknown measurement; known are %v", Measurements())
}
