// Package mutate changes valid messages for tests of their receivers. Unlike arbitrary
// bytes, the results are decoded and reach the code behind the decoder.
package mutate

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenalock/galenalock/core/wire"
)

const (
	// maxChanges is the largest number of values that are changed in one message.
	maxChanges = 3
	longText   = 70 << 10
)

// extremes returns values that replace one of any type.
func extremes() []any {
	return []any{
		nil, true, false, 0, 1, -1, int64(math.MinInt64), int64(math.MaxInt64), uint64(math.MaxUint64), uint64(1) << 32,
		math.NaN(), math.Inf(1), -1.5, 1e308, "", "\x00", strings.Repeat("x", longText), []byte{}, []byte{1, 2, 3},
		[]any{}, []any{nil}, map[any]any{},
	}
}

// Mutator changes messages. It is not safe for concurrent use.
type Mutator struct{ rng *rand.Rand }

// New returns a mutator whose changes follow from the seed.
func New(seed uint64) *Mutator { return &Mutator{rng: rand.New(rand.NewPCG(seed, 0))} }

// Raw is an encoded body that is sent as it is.
type Raw = cbor.RawMessage

// Body returns the encoded body with one to three of its values changed. The error is
// that of decoding it.
func (m *Mutator) Body(body []byte) (Raw, error) {
	var value any
	if err := wire.Decode(body, &value); err != nil {
		return nil, err
	}
	for range 1 + m.rng.IntN(maxChanges) {
		value = m.change(value)
	}
	return wire.Encode(value)
}

// change returns the value with a part of it, or all of it, changed.
func (m *Mutator) change(value any) any {
	switch v := value.(type) {
	case map[any]any:
		return m.changeMap(v)
	case []any:
		return m.changeList(v)
	case []byte:
		return m.changeBytes(v)
	}
	return m.extreme()
}

func (m *Mutator) extreme() any {
	all := extremes()
	return all[m.rng.IntN(len(all))]
}

func (m *Mutator) changeMap(v map[any]any) any {
	if len(v) == 0 {
		return m.extreme()
	}
	keys := make([]string, 0, len(v))
	for key := range v {
		if s, ok := key.(string); ok {
			keys = append(keys, s)
		}
	}
	if len(keys) == 0 {
		return m.extreme()
	}
	slices.Sort(keys) // the order of the map is random
	key := keys[m.rng.IntN(len(keys))]
	if m.rng.IntN(8) == 0 {
		delete(v, key)
	} else {
		v[key] = m.change(v[key])
	}
	return v
}

func (m *Mutator) changeList(v []any) any {
	i := 0
	if len(v) > 0 {
		i = m.rng.IntN(len(v))
	}
	switch choice := m.rng.IntN(10); {
	case len(v) == 0, choice == 0:
		return m.extreme()
	case choice == 1:
		return v[:i]
	case choice == 2:
		return append(v, v[i])
	}
	v[i] = m.change(v[i])
	return v
}

func (m *Mutator) changeBytes(v []byte) any {
	if len(v) == 0 || m.rng.IntN(3) == 0 {
		return m.extreme()
	}
	i := m.rng.IntN(len(v))
	if m.rng.IntN(2) == 0 {
		return v[:i]
	}
	v[i] ^= byte(1 + m.rng.IntN(255))
	return v
}
