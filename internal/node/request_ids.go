package node

import (
	"hash/maphash"

	"cobaltward/policy"
)

// recentIDs holds the ids of recent requests for idRetention at least and twice that at most, to detect duplicates. It
// consists of two sets, of which the older is dropped as a whole, so it neither grows without bound nor needs to be
// searched for expired ids. Beyond maxRetainedIDs ids per idRetention, ids are dropped sooner. It stores hashes of the
// ids to save memory.
type recentIDs struct {
	seed         maphash.Seed
	began        policy.Time
	newer, older map[uint64]struct{}
}

// add adds an id. It returns false if the id is already present.
func (s *recentIDs) add(id string, now policy.Time) bool {
	if s.newer == nil || now-s.began >= idRetention || len(s.newer) >= maxRetainedIDs {
		s.older, s.newer, s.began = s.newer, make(map[uint64]struct{}), now
	}
	h := maphash.String(s.seed, id)
	_, inNewer := s.newer[h]
	_, inOlder := s.older[h]
	s.newer[h] = struct{}{}
	return !inNewer && !inOlder
}
