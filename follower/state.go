package follower

import "time"

// GracePeriod is how long a ready entry stays ready while a newer revision is
// known that it has not loaded.
const GracePeriod = 5 * time.Second

// state is the state machine of a follower. It does no I/O and reads no clock.
type state struct {
	// revision is the one in force here; it never decreases.
	revision uint64
	// known is the highest revision known to exist; known >= revision.
	known uint64
	// absent is the highest revision that was announced but that the store does
	// not have, or 0.
	absent uint64
	// behindSince is the time since which known exceeds revision; zero while it
	// doesn't.
	behindSince time.Time
	// synced is true once revision was equal to known after a poll or an
	// adopted offer.
	synced bool
	// storeReachable reports whether the store answered the last poll.
	storeReachable bool
	// polled is true once the first poll ended.
	polled bool
	// refused is the newest revision that can't be brought into force here, or
	// 0.
	refused uint64
}

// headStatus compares the head in the store with the revision in force.
type headStatus uint8

const (
	// headUnchanged means that the head is the revision in force.
	headUnchanged headStatus = iota
	// headNewer means that the head has to be fetched.
	headNewer
	// headOlder means that the head is below the revision in force.
	headOlder
)

// notify records a revision that another process announced, and reports whether
// it calls for a poll.
func (s *state) notify(revision uint64, now time.Time) bool {
	if revision <= s.known || revision <= s.absent {
		return false
	}
	s.raiseKnown(revision, now)
	return true
}

// raiseKnown raises the highest known revision, and starts the time behind it.
func (s *state) raiseKnown(revision uint64, now time.Time) {
	if revision <= s.known {
		return
	}
	s.known = revision
	if s.behindSince.IsZero() {
		s.behindSince = now
	}
}

// observeHead records the head that a poll read; knownBefore is the highest
// known revision when the poll began. A revision that was announced before the
// poll and isn't in the store does not exist, since every process learns of
// revisions from the store.
func (s *state) observeHead(head, knownBefore uint64, now time.Time) headStatus {
	s.storeReachable, s.polled = true, true
	if head < s.revision {
		return headOlder
	}
	s.raiseKnown(head, now)
	if head < s.known && s.known <= knownBefore {
		s.absent, s.known = s.known, head
	}
	if head >= s.absent {
		s.absent = 0
	}
	if head > s.revision {
		return headNewer
	}
	s.updateSynced()
	return headUnchanged
}

// setRevision records that a revision is in force. One adopted from another
// entry may be newer than any known before.
func (s *state) setRevision(revision uint64) {
	s.revision = revision
	s.known = max(s.known, revision)
	s.updateSynced()
}

// updateSynced marks the follower as synced if it has the highest known
// revision.
func (s *state) updateSynced() {
	if s.revision < s.known {
		return
	}
	s.synced = true
	s.behindSince = time.Time{}
	s.refused = 0
}

// recordUnanswered records a poll that the store did not answer, and reports
// whether it is the first in a row.
func (s *state) recordUnanswered() bool {
	isNew := s.storeReachable || !s.polled
	s.storeReachable, s.polled = false, true
	return isNew
}

// recordRefusal records a revision that can't be brought into force here, and
// reports whether it differs from the last one recorded.
func (s *state) recordRefusal(revision uint64) bool {
	isNew := s.refused != revision
	s.refused = revision
	return isNew
}

// stale reports whether a newer revision is known and the last attempt to load
// it failed: the store did not answer, or the revision was refused.
func (s *state) stale() bool {
	return s.revision < s.known && (!s.storeReachable || s.refused == s.known)
}

// ready reports whether the entry may take requests at the given time.
func (s *state) ready(now time.Time) bool {
	if !s.synced {
		return false
	}
	return s.revision >= s.known || now.Sub(s.behindSince) < GracePeriod
}
