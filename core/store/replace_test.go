package store_test

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/store"
)

// Guards against a replaced file that a crash leaves torn, or with its old content
// although ReplaceFile has returned. Without the sync of the directory, the naive
// variant, the second happens.
func TestReplaceFileSurvivesCrashes(t *testing.T) {
	const name = dir + "/kept"
	lostWith := func(ignored string) int {
		lost := 0
		for seed := range int64(200) {
			d := newDisk(seed)
			if err := store.ReplaceFile(d.files(), name, []byte("old")); err != nil {
				t.Fatal(err)
			}
			d.ignored, d.crashAt = ignored, d.ops+1+int(seed)%8
			err := store.ReplaceFile(d.files(), name, []byte("new "), []byte("content"))
			next := d.reboot()
			data, readErr := next.files().Read(name)
			if readErr != nil || !slices.Contains([]string{"old", "new content"}, string(data)) || err == nil && string(data) == "old" {
				lost++
			}
		}
		return lost
	}
	is := is.New(t)
	is.True(lostWith("syncdir") > 0)
	is.Equal(lostWith(""), 0)
}
