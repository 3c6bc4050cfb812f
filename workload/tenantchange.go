package workload

// TenantChange is what differs between the tenants of two versions of a manifest.
type TenantChange struct {
	// Added and Removed are names of tenants, Rekeyed those of tenants in both versions whose
	// keys differ, Resized those whose weight or cap differs.
	Added, Removed, Rekeyed, Resized []string
	// KeysAdded and KeysRemoved are numbers of keys of all tenants.
	KeysAdded, KeysRemoved int
}

// KeysChanged reports whether a key is valid, or stands for a tenant, in one version only.
func (c *TenantChange) KeysChanged() bool {
	return len(c.Added)+len(c.Removed)+len(c.Rekeyed) > 0
}

// CompareTenants returns what differs between the tenants of an older and a newer version.
func CompareTenants(older, newer Tenants) TenantChange {
	var c TenantChange
	for _, t := range newer.All() {
		old := older.Find(t.Name)
		if old == nil {
			c.Added = append(c.Added, t.Name)
		} else if old.Weight != t.Weight || old.Cap != t.Cap {
			c.Resized = append(c.Resized, t.Name)
		}
		added := newer.KeysNotIn(older, t.Name)
		removed := older.KeysNotIn(newer, t.Name)
		c.KeysAdded, c.KeysRemoved = c.KeysAdded+added, c.KeysRemoved+removed
		if old != nil && added+removed > 0 {
			c.Rekeyed = append(c.Rekeyed, t.Name)
		}
	}
	for _, t := range older.All() {
		if newer.Find(t.Name) == nil {
			c.Removed = append(c.Removed, t.Name)
			c.KeysRemoved += older.KeysNotIn(newer, t.Name)
		}
	}
	return c
}

// KeysNotIn counts the keys of a tenant that don't stand for it in another version.
func (t Tenants) KeysNotIn(other Tenants, name string) int {
	missing := 0
	if t := t.Find(name); t != nil {
		for _, key := range t.Keys {
			if o := other.byKey[key]; o == nil || o.Name != name {
				missing++
			}
		}
	}
	return missing
}
