package mutate_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/mutate"
	"github.com/galenalock/galenalock/core/wire"
)

// Guards against tests that cannot be repeated, and against changes that decoders
// refuse every time.
func TestBody(t *testing.T) {
	is := is.New(t)
	body, err := wire.Encode(wire.Helpers{List: []wire.Helper{{Instance: "entry-2"}, {Instance: "entry-3"}}, Near: 1, Entries: 3})
	is.NoErr(err)
	a, b := mutate.New(1), mutate.New(1)
	decoded, differ := 0, 0
	for range 500 {
		one, err := a.Body(body)
		is.NoErr(err)
		other, err := b.Body(body)
		is.NoErr(err)
		is.Equal(one, other)
		if string(one) != string(body) {
			differ++
		}
		var h wire.Helpers
		if wire.Decode(one, &h) == nil {
			decoded++
		}
	}
	t.Logf("%d of 500 differ, %d can be decoded", differ, decoded)
	is.True(differ > 400 && decoded > 50)
}
