package dedup

import "slices"

// syncSet tracks which peers must acknowledge intents. It is used under the
// table's lock.
//
// A peer is required from the moment a copy is exported for it. Until a renewal
// that names the peer has been offered, a missing acknowledgement only
// invalidates its copy and ends the requirement. From then on the peer is
// required until a renewal without it, which was offered after every renewal
// that names it, has been recorded.
type syncSet struct {
	peers map[string]*syncPeer
	// lastRenewal is the serial of the last renewal offered. pendingRenewals
	// holds the synced sets of those not yet recorded, by serial.
	lastRenewal     uint64
	pendingRenewals map[uint64][]string
	// lastCopy is the serial of the last export.
	lastCopy uint64
}

// syncPeer is the state of one peer in the set.
type syncPeer struct {
	// hasFullCopy is set while the peer is known to hold a full copy.
	hasFullCopy bool
	// copying is set while a copy is being transferred.
	copying bool
	// copySerial is the serial of the last copy exported for the peer.
	copySerial uint64
	// lastNamedIn is the serial of the last renewal that names the peer. It is 0
	// if there is none or a later renewal without the peer has been recorded.
	lastNamedIn uint64
}

func newSyncSet() syncSet {
	return syncSet{peers: map[string]*syncPeer{}, pendingRenewals: map[uint64][]string{}}
}

func (s *syncSet) beginCopy(vm string, serial uint64) {
	p := s.peers[vm]
	if p == nil {
		p = &syncPeer{}
		s.peers[vm] = p
	}
	p.copying = true
	p.hasFullCopy = false
	p.copySerial = serial
}

func (s *syncSet) copyImported(vm string, serial uint64) {
	p := s.peers[vm]
	if p != nil && p.copying && p.copySerial == serial {
		p.copying = false
		p.hasFullCopy = true
	}
}

// markUnsynced records that a peer has no full copy any more, because an
// acknowledgement is missing or the transfer of its copy has failed.
func (s *syncSet) markUnsynced(vm string) {
	p := s.peers[vm]
	if p == nil {
		return
	}
	p.hasFullCopy = false
	p.copying = false
	if p.lastNamedIn == 0 {
		delete(s.peers, vm)
	}
}

// required returns the peers that must acknowledge an intent, in alphabetical
// order.
func (s *syncSet) required() []string {
	list := make([]string, 0, len(s.peers))
	for vm := range s.peers {
		list = append(list, vm)
	}
	slices.Sort(list)
	return list
}

func (s *syncSet) requires(vm string) bool {
	return s.peers[vm] != nil
}

// offerRenewal returns a new serial and the synced set of the next renewal.
func (s *syncSet) offerRenewal() (serial uint64, synced []string) {
	s.lastRenewal++
	for vm, p := range s.peers {
		if p.hasFullCopy {
			p.lastNamedIn = s.lastRenewal
			synced = append(synced, vm)
		}
	}
	slices.Sort(synced)
	s.pendingRenewals[s.lastRenewal] = synced
	return s.lastRenewal, synced
}

// renewalRecorded ends the requirement of peers that neither this renewal nor
// a later one names, unless they have a full copy or are receiving one.
func (s *syncSet) renewalRecorded(serial uint64) {
	if _, ok := s.pendingRenewals[serial]; !ok {
		return
	}
	for old := range s.pendingRenewals {
		if old <= serial {
			delete(s.pendingRenewals, old)
		}
	}
	for vm, p := range s.peers {
		if p.lastNamedIn >= serial {
			continue
		}
		p.lastNamedIn = 0
		if !p.hasFullCopy && !p.copying {
			delete(s.peers, vm)
		}
	}
}
