package follower

import "time"

// Grace is how long a ready entry stays ready while it is behind.
const Grace = 5 * time.Second

// state decides what a follower is, without clock or input.
type state struct {
	// revision is in force here; it only grows.
	revision uint64
	// known is the highest revision known to exist; known >= revision.
	known uint64
	// denied is the highest revision that was heard of and that the store does
	// not have, or 0.
	denied uint64
	// behind is when known began to exceed revision; zero while it doesn't.
	behind time.Time
	// loaded is true once there was a revision and nothing newer was known.
	loaded bool
	// reachable tells whether the last poll was answered.
	reachable bool
	// tried is false before the first poll ended.
	tried bool
	// refused is the newest revision that can't be in force here, or 0.
	refused uint64
}

// sight is what a poll shows.
type sight uint8

const (
	// upToDate is a head at the revision in force.
	upToDate sight = iota
	// newer is a head that has to be fetched.
	newer
	// wentBack is a head below the revision in force.
	wentBack
)

// hear notes a revision that another process knows of, and reports whether it
// is worth a poll.
func (s *state) hear(revision uint64, now time.Time) bool {
	if revision <= s.known || revision <= s.denied {
		return false
	}
	s.learn(revision, now)
	return true
}

func (s *state) learn(revision uint64, now time.Time) {
	if revision <= s.known {
		return
	}
	s.known = revision
	if s.behind.IsZero() {
		s.behind = now
	}
}

// see notes the head that a poll showed; before is what was known when the poll
// began. A revision that was heard of before the poll and isn't in the store
// does not exist, since every process learns of revisions from the store.
func (s *state) see(head, before uint64, now time.Time) sight {
	s.reachable, s.tried = true, true
	if head < s.revision {
		return wentBack
	}
	s.learn(head, now)
	if head < s.known && s.known <= before {
		s.denied, s.known = s.known, head
	}
	if head >= s.denied {
		s.denied = 0
	}
	if head > s.revision {
		return newer
	}
	s.settle()
	return upToDate
}

// load notes that a revision is in force. One from another entry may be the
// first word of it.
func (s *state) load(revision uint64) {
	s.revision = revision
	s.known = max(s.known, revision)
	s.settle()
}

func (s *state) settle() {
	if s.revision < s.known {
		return
	}
	s.loaded = true
	s.behind = time.Time{}
	s.refused = 0
}

// miss notes a poll that was not answered, and reports whether the one before was.
func (s *state) miss() bool {
	news := s.reachable || !s.tried
	s.reachable, s.tried = false, true
	return news
}

// refuse notes a revision that can't be in force here, and reports whether that
// is news.
func (s *state) refuse(revision uint64) bool {
	news := s.refused != revision
	s.refused = revision
	return news
}

func (s *state) stale() bool {
	return s.revision < s.known && (!s.reachable || s.refused == s.known)
}

func (s *state) ready(now time.Time) bool {
	if !s.loaded {
		return false
	}
	return s.revision >= s.known || now.Sub(s.behind) < Grace
}
