package delta

import (
	"github.com/galenalock/galenalock/core/wire"
)

// maxVersions is the number of stored texts that can be the base of a splice. A
// receiver with an older revision gets the whole text.
const maxVersions = 8

type version struct {
	number uint64
	text   []byte
}

// RevisionStore holds the newest texts and answers pulls. It is not safe for
// concurrent use.
type RevisionStore struct {
	versions []version                // ascending by number
	cache    map[uint64]wire.Revision // answers by number of the base
}

// Number returns the number of the newest revision, 0 if there is none.
func (s *RevisionStore) Number() uint64 { return s.newest().number }

// Text returns the newest text.
func (s *RevisionStore) Text() []byte { return s.newest().text }

func (s *RevisionStore) newest() version {
	if len(s.versions) == 0 {
		return version{}
	}
	return s.versions[len(s.versions)-1]
}

// Install stores a text as the newest revision. A revision that is not higher
// than the newest one is ignored; Install then returns false.
func (s *RevisionStore) Install(number uint64, text []byte) bool {
	if number <= s.Number() {
		return false
	}
	s.versions = append(s.versions, version{number: number, text: text})
	if len(s.versions) > maxVersions {
		s.versions = append([]version(nil), s.versions[1:]...)
	}
	s.cache = map[uint64]wire.Revision{}
	return true
}

// Digest returns a message that announces the newest revision without its text.
func (s *RevisionStore) Digest() wire.Revision {
	v := s.newest()
	return wire.Revision{Number: v.number, Checksum: Sum(v.text)}
}

// Answer returns the message that brings the sender of a pull up to date: a
// splice, the whole text, or a digest if there is nothing newer. Answers are
// cached, because many receivers pull a change at the same time.
func (s *RevisionStore) Answer(pull wire.Pull) (wire.Revision, error) {
	newest := s.newest()
	if newest.number == 0 || pull.Have >= newest.number {
		return s.Digest(), nil
	}
	base := s.findBase(pull)
	if r, ok := s.cache[base.number]; ok {
		return r, nil
	}
	var r wire.Revision
	var err error
	if base.number == 0 {
		r, err = Whole(newest.number, newest.text)
	} else {
		r, err = Splice(base.number, base.text, newest.number, newest.text)
	}
	if err != nil {
		return wire.Revision{}, err
	}
	s.cache[base.number] = r
	return r, nil
}

func (s *RevisionStore) findBase(pull wire.Pull) version {
	for _, v := range s.versions {
		if v.number == pull.Have && Sum(v.text) == pull.Checksum {
			return v
		}
	}
	return version{}
}
