package delta

import (
	"github.com/galenalock/galenalock/core/wire"
)

// keptTexts is how many revisions a keeper can splice from. A receiver that is
// further behind gets the whole text.
const keptTexts = 8

type version struct {
	number uint64
	text   []byte
}

// Keeper holds the newest text and a few before it, and answers pulls. It is
// not safe for concurrent use.
type Keeper struct {
	versions []version // ascending
	cache    map[uint64]wire.Revision
}

// Number returns the newest revision, 0 for none.
func (k *Keeper) Number() uint64 { return k.newest().number }

// Text returns the newest text.
func (k *Keeper) Text() []byte { return k.newest().text }

func (k *Keeper) newest() version {
	if len(k.versions) == 0 {
		return version{}
	}
	return k.versions[len(k.versions)-1]
}

// Install makes a text the newest one and reports whether it did: a revision
// that is not higher than the newest one changes nothing.
func (k *Keeper) Install(number uint64, text []byte) bool {
	if number <= k.Number() {
		return false
	}
	k.versions = append(k.versions, version{number: number, text: text})
	if len(k.versions) > keptTexts {
		k.versions = append([]version(nil), k.versions[1:]...)
	}
	k.cache = map[uint64]wire.Revision{}
	return true
}

// Digest returns a message that announces the newest revision without its text.
func (k *Keeper) Digest() wire.Revision {
	v := k.newest()
	return wire.Revision{Number: v.number, Sum: Sum(v.text)}
}

// Answer returns what a receiver with the revision of the pull needs. Equal
// answers are made once, since a change is pulled by many at the same time.
func (k *Keeper) Answer(pull wire.Pull) (wire.Revision, error) {
	newest := k.newest()
	if newest.number == 0 || pull.Have >= newest.number {
		return k.Digest(), nil
	}
	base := k.base(pull)
	if r, ok := k.cache[base.number]; ok {
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
	k.cache[base.number] = r
	return r, nil
}

func (k *Keeper) base(pull wire.Pull) version {
	for _, v := range k.versions {
		if v.number == pull.Have && Sum(v.text) == pull.Sum {
			return v
		}
	}
	return version{}
}
