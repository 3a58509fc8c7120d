package delta_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/galenalock/galenalock/core/delta"
	"github.com/galenalock/galenalock/core/wire"
)

func Example() {
	sender, receiver := &delta.RevisionStore{}, &delta.RevisionStore{}
	sender.Install(1, []byte("floor = 80%"))
	receiver.Install(1, []byte("floor = 80%"))
	sender.Install(2, []byte("floor = 85%"))

	r, _ := sender.Answer(wire.Pull{Have: 1, Checksum: receiver.Digest().Checksum})
	text, err := delta.Apply(receiver.Number(), receiver.Text(), r)
	fmt.Println(r.Head, r.Tail, string(text), err)
	// Output: 9 1 floor = 85% <nil>
}

// Guards against a splice whose result differs from the sender's text, for any
// pair of texts. The message with the whole text is the reference.
func TestSpliceEqualsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		alphabet := rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 40)
		from, text := alphabet.Draw(t, "from"), alphabet.Draw(t, "text")
		splice, err := delta.Splice(7, from, 8, text)
		if err != nil {
			t.Fatal(err)
		}
		whole, err := delta.Whole(8, text)
		if err != nil {
			t.Fatal(err)
		}
		a, errA := delta.Apply(7, from, splice)
		b, errB := delta.Apply(0, nil, whole)
		if errA != nil || errB != nil || string(a) != string(b) {
			t.Fatalf("splice %q %v, whole %q %v", a, errA, b, errB)
		}
	})
}

// Guards against applying a splice to a text other than its base, which would
// put a configuration in force that nobody submitted.
func TestApplyRefusesAnotherBase(t *testing.T) {
	is := is.New(t)
	r, err := delta.Splice(7, []byte("aaaa"), 8, []byte("aaba"))
	is.NoErr(err)
	var refused *delta.Error
	_, err = delta.Apply(6, []byte("aaaa"), r)
	is.True(errors.As(err, &refused))
	_, err = delta.Apply(7, []byte("abbb"), r)
	is.True(errors.As(err, &refused))
	_, err = delta.Apply(7, []byte("a"), r)
	is.True(errors.As(err, &refused))
}

// Guards against installing a lower or equal revision.
func TestStoreNeverReverts(t *testing.T) {
	is := is.New(t)
	store := &delta.RevisionStore{}
	is.True(store.Install(5, []byte("five")))
	is.True(!store.Install(5, []byte("other five")))
	is.True(!store.Install(4, []byte("four")))
	is.Equal(string(store.Text()), "five")
}

// Guards against messages that crash the receiver or decompress without limit.
func FuzzApply(f *testing.F) {
	r, err := delta.Splice(1, []byte("abc"), 2, []byte("abd"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(r.Head, r.Tail, r.Data)
	f.Add(-1, 1<<40, []byte{})
	f.Fuzz(func(_ *testing.T, head, tail int, data []byte) {
		_, _ = delta.Apply(1, []byte("abc"), wire.Revision{Number: 2, Base: 1, Head: head, Tail: tail, Data: data})
	})
}
