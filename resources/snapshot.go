package resources

import (
	"encoding/json"
	"fmt"

	"github.com/cactusreel/cactusreel/api"
)

// snapshotFormat is the version of the snapshot encoding. It must be
// incremented when the encoding changes incompatibly.
const snapshotFormat = 1

// snapshot is the encoding of a Store's state. It contains no events, so a
// watch from a version before the snapshot must list the resources again.
type snapshot struct {
	Format    int               `json:"format"`
	Offset    int64             `json:"offset"`
	Resources []*api.Resource   `json:"resources"`
	Outcomes  []retainedOutcome `json:"outcomes"`
}

// Snapshot returns the encoded state and the offset of the newest record that
// it includes. The encoding is deterministic.
func (s *Store) Snapshot() ([]byte, int64, error) {
	v := s.View()
	snap := snapshot{Format: snapshotFormat, Offset: v.offset, Outcomes: s.outcomes.oldestFirst}
	for _, kind := range api.Kinds() {
		snap.Resources = append(snap.Resources, v.kinds[kind].sorted()...)
	}
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, 0, fmt.Errorf("encode snapshot at offset %d: %w", v.offset, err)
	}
	return data, v.offset, nil
}

// Restore replaces the state by a snapshot if the snapshot's offset is above
// the store's, and reports whether it did. If the snapshot can't be decoded, it
// returns an error and leaves the state unchanged.
func (s *Store) Restore(data []byte) (bool, error) {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return false, fmt.Errorf("decode snapshot: %w", err)
	}
	if snap.Format != snapshotFormat {
		return false, fmt.Errorf("decode snapshot: format %d; accepted is %d", snap.Format, snapshotFormat)
	}
	old := s.View()
	if snap.Offset <= old.offset {
		return false, nil
	}
	next := &View{
		offset:             snap.Offset,
		kinds:              map[api.Kind]*table{},
		oldestWatchVersion: api.Version(snap.Offset),
		superseded:         make(chan struct{}),
	}
	for _, r := range snap.Resources {
		if r == nil || !r.Kind.Known() || !r.HasSpecOfKind() {
			return false, fmt.Errorf("decode snapshot at offset %d: a resource lacks its kind or spec", snap.Offset)
		}
		next.kinds[r.Kind] = next.kinds[r.Kind].with(r.Name, r)
	}
	s.outcomes = newOutcomeWindow(s.limits.Outcomes)
	for _, o := range snap.Outcomes {
		s.outcomes.add(o)
	}
	s.publish(old, next)
	return true, nil
}
