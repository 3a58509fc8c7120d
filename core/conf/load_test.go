package conf_test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/conf"
)

type settings struct {
	instance string
	level    string
	peer     netip.AddrPort
	control  []netip.AddrPort
	replicas map[uint64]netip.AddrPort
	grace    time.Duration
	queue    int
	share    float64
	found    bool
}

func (s *settings) table() *conf.Table {
	t := &conf.Table{}
	t.Name("instance", &s.instance, "name of the instance")
	t.Address("peer", &s.peer, "127.0.0.1:0", "address for links")
	t.Addresses("control", &s.control, false, "addresses of the control replicas")
	t.Replicas("replicas", &s.replicas, "members of the group")
	t.Duration("grace", &s.grace, 5*time.Second, 0, time.Minute, "time that the balancer needs")
	t.Int("queue", &s.queue, 100, 1, 1000, "requests", "length of the queue")
	t.Float("share", &s.share, 0.1, 0, 1, "share", "share of retries")
	t.Bool("found", &s.found, false, "found a new group")
	t.Text("log.level", &s.level, "info", "lowest level that is logged", "debug", "info", "warning", "error")
	return t
}

func ExampleLoad() {
	var s settings
	err := conf.Parse("entry.toml", []byte("instance = \"e1\"\nreplicas = []\ngrace = \"2h\"\n"), s.table())
	fmt.Println(err)
	// Output: entry.toml: grace: 2h0m0s lies outside 0s to 1m0s
}

// Guards against settings that are ignored, converted from another type, or
// accepted outside their bounds.
func TestParseCases(t *testing.T) {
	data, err := os.ReadFile("testdata/cases.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, block := range strings.Split(string(data), "\n=== ")[1:] {
		name, rest, _ := strings.Cut(block, "\n")
		text, want, _ := strings.Cut(rest, "--- error\n")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s settings
			err := conf.Parse("f.toml", []byte(text), s.table())
			want = strings.TrimSpace(want)
			if want == "" {
				is.NoErr(err)
				return
			}
			var confErr *conf.Error
			is.True(errors.As(err, &confErr))
			is.Equal(err.Error(), want)
		})
	}
}
