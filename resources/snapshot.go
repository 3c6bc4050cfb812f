package resources

import (
	"encoding/json"
	"fmt"

	"github.com/cactusreel/cactusreel/api"
)

// snapshotFormat is raised when the encoding changes incompatibly.
const snapshotFormat = 1

// snapshot is the encoding of a Store's state. Events are not part of it: a
// watch from before the snapshot must list again.
type snapshot struct {
	Format    int             `json:"format"`
	Offset    int64           `json:"offset"`
	Resources []*api.Resource `json:"resources"`
	Outcomes  []keptOutcome   `json:"outcomes"`
}

// Snapshot returns the encoded state, which is the same for equal states, and
// the offset it includes.
func (s *Store) Snapshot() ([]byte, int64, error) {
	v := s.View()
	shot := snapshot{Format: snapshotFormat, Offset: v.offset, Outcomes: s.outcomes.order}
	for _, kind := range api.Kinds() {
		shot.Resources = append(shot.Resources, v.kinds[kind].sorted()...)
	}
	data, err := json.Marshal(shot)
	if err != nil {
		return nil, 0, fmt.Errorf("encode snapshot at offset %d: %w", v.offset, err)
	}
	return data, v.offset, nil
}

// Restore adopts a snapshot if its offset is above the store's and reports
// whether it did. A snapshot that can't be decoded changes nothing.
func (s *Store) Restore(data []byte) (bool, error) {
	var shot snapshot
	if err := json.Unmarshal(data, &shot); err != nil {
		return false, fmt.Errorf("decode snapshot: %w", err)
	}
	if shot.Format != snapshotFormat {
		return false, fmt.Errorf("decode snapshot: format %d; accepted is %d", shot.Format, snapshotFormat)
	}
	old := s.View()
	if shot.Offset <= old.offset {
		return false, nil
	}
	next := &View{
		offset: shot.Offset,
		kinds:  map[api.Kind]*table{},
		base:   api.Version(shot.Offset),
		next:   make(chan struct{}),
	}
	for _, r := range shot.Resources {
		if r == nil || !r.Kind.Known() || !r.HasSpecOfKind() {
			return false, fmt.Errorf("decode snapshot at offset %d: a resource lacks its kind or spec", shot.Offset)
		}
		next.kinds[r.Kind] = next.kinds[r.Kind].with(r.Name, r)
	}
	s.outcomes = newOutcomeWindow(s.limits.Outcomes)
	for _, o := range shot.Outcomes {
		s.outcomes.add(o)
	}
	s.publish(old, next)
	return true, nil
}
