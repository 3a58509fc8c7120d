package raft

import (
	"math/rand"
	"time"
)

// Defaults of Config.
const (
	DefaultHeartbeat   = 100 * time.Millisecond
	DefaultElection    = time.Second // the randomized timeout is one to two times this
	DefaultMaxMessage  = 256 << 10   // bytes of entries or snapshot in one message
	DefaultMaxInflight = 2 << 20     // unacknowledged bytes per follower; 100 MB/s at 20 ms
	DefaultTrailing    = 1024        // entries kept behind a snapshot for slow followers
)

// Config is the start of a core: what its data folder holds, and its limits.
type Config struct {
	ID          uint64
	Incarnation uint64     // random number of the data folder
	Recovering  bool       // the data folder is new and did not found the group
	Founder     bool       // the data folder founded the group
	Hard        HardState  // as stored
	Snapshot    Snapshot   // as stored, already restored into the machine; zero if there is none
	Entries     []Entry    // as stored, consecutive after Snapshot
	Rand        *rand.Rand // seeds election timeouts

	Heartbeat   time.Duration
	Election    time.Duration
	MaxMessage  int
	MaxInflight int
	Trailing    uint64
	Without     Rules // rules turned off by tests
}

// Rules names the safety rules that a test can turn off to show what each of
// them prevents.
type Rules struct {
	PreVote     bool // candidates raise the term at once, and votes are granted despite a live leader
	CheckQuorum bool // leaders never step down for lack of replies
	Recovery    bool // replicas are counted and vote with an empty disk
	Doubt       bool // founders that never voted do not ask whether they lost their disk
}

func (c *Config) setDefaults() {
	if c.Heartbeat == 0 {
		c.Heartbeat = DefaultHeartbeat
	}
	if c.Election == 0 {
		c.Election = DefaultElection
	}
	if c.MaxMessage == 0 {
		c.MaxMessage = DefaultMaxMessage
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	if c.Trailing == 0 {
		c.Trailing = DefaultTrailing
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewSource(int64(c.ID ^ c.Incarnation)))
	}
}
