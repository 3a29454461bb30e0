package quarantine

import "time"

const (
	// soundTime is how long a part is not suspected after a server has run a request with it without terminating.
	soundTime = time.Minute
	// maxSoundParts is the number of parts of one generation of soundParts.
	maxSoundParts = 16384
)

// soundParts holds the parts that servers have lately run without terminating. When there are too many, those of the older of
// two generations are forgotten.
type soundParts struct {
	current, former map[Part]time.Time
}

func (s *soundParts) add(p Part, now time.Time) {
	if s.current == nil || len(s.current) >= maxSoundParts {
		s.current, s.former = map[Part]time.Time{}, s.current
	}
	s.current[p] = now
}

func (s *soundParts) has(p Part, now time.Time) bool {
	at, ok := s.current[p]
	if !ok {
		at, ok = s.former[p]
	}
	return ok && now.Sub(at) <= soundTime
}
