package resources

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cactusreel/cactusreel/api"
)

// tableShards limits the cost of copy-on-write: at 50,000 jobs a change copies
// a shard of about 200 entries instead of the whole table.
const tableShards = 256

// table is an immutable map from names to the resources of one kind. A nil
// table is empty.
type table struct {
	shards [tableShards]map[string]*api.Resource
	size   int
}

func shardOf(name string) uint64 {
	return xxhash.Sum64String(name) % tableShards
}

// get returns the resource or nil.
func (t *table) get(name string) *api.Resource {
	if t == nil {
		return nil
	}
	return t.shards[shardOf(name)][name]
}

// with returns a copy of the table in which name maps to r. A nil r removes
// the name.
func (t *table) with(name string, r *api.Resource) *table {
	changed := &table{}
	if t != nil {
		*changed = *t
	}
	i := shardOf(name)
	shard := maps.Clone(changed.shards[i])
	if shard == nil {
		shard = make(map[string]*api.Resource)
	}
	changed.size -= len(shard)
	if r == nil {
		delete(shard, name)
	} else {
		shard[name] = r
	}
	changed.size += len(shard)
	changed.shards[i] = shard
	return changed
}

// sorted returns the resources in ascending order of name.
func (t *table) sorted() []*api.Resource {
	if t == nil {
		return nil
	}
	list := make([]*api.Resource, 0, t.size)
	for _, shard := range t.shards {
		for _, r := range shard {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *api.Resource) int { return strings.Compare(a.Name, b.Name) })
	return list
}
