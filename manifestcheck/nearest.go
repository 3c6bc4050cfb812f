package manifestcheck

// maxTypos is the number of letters by which an unknown name may differ from the known one that
// was probably meant.
const maxTypos = 3

// Nearest returns the known name that differs least from a name, or "" if none is near.
func Nearest(name string, known []string) string {
	best, least := "", maxTypos+1
	for _, candidate := range known {
		if d := distance(name, candidate); d < least && 2*d < len(candidate) {
			best, least = candidate, d
		}
	}
	return best
}

// distance returns the number of insertions, deletions and replacements of bytes that make one
// name into another.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
