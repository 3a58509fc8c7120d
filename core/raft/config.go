package raft

import (
	"math/rand"
	"time"
)

// Default values of Config fields.
const (
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultElectionTimeout   = time.Second // minimum; each timeout is one to two times this
	DefaultMaxMessageBytes   = 256 << 10   // bytes of entries or snapshot data in one message
	DefaultMaxInflightBytes  = 2 << 20     // unacknowledged bytes per follower; 100 MB/s at a round trip of 20 ms
	DefaultTrailingEntries   = 1024        // entries kept before a snapshot for slow followers
	DefaultTrailingBytes     = 8 << 20     // their size; a follower that lacks more gets the snapshot
)

// Config holds the stored state that a Core starts from, and its limits.
type Config struct {
	ID          uint64
	Incarnation uint64     // random identifier of the data directory
	Recovering  bool       // the data directory is new and did not found the group
	Founder     bool       // the data directory founded the group
	Hard        HardState  // as stored
	Snapshot    Snapshot   // as stored, already restored into the state machine; zero if there is none
	Entries     []Entry    // as stored, consecutive after Snapshot
	Rand        *rand.Rand // randomizes election timeouts

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	MaxMessageBytes   int
	MaxInflightBytes  int
	TrailingEntries   uint64
	TrailingBytes     int
	DisabledRules     Rules // only for tests
}

// Rules selects the safety rules that a test disables to show which failure
// each of them prevents. The comments describe the behaviour without the rule.
type Rules struct {
	PreVote      bool // candidates raise the term at once, and votes are granted despite a live leader
	CheckQuorum  bool // leaders never step down for lack of replies
	DiskRecovery bool // replicas are counted and vote with an empty disk
	FounderCheck bool // founders that never voted do not check whether they lost their disk
}

func (c *Config) setDefaults() {
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.MaxMessageBytes == 0 {
		c.MaxMessageBytes = DefaultMaxMessageBytes
	}
	if c.MaxInflightBytes == 0 {
		c.MaxInflightBytes = DefaultMaxInflightBytes
	}
	if c.TrailingEntries == 0 {
		c.TrailingEntries = DefaultTrailingEntries
	}
	if c.TrailingBytes == 0 {
		c.TrailingBytes = DefaultTrailingBytes
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewSource(int64(c.ID ^ c.Incarnation)))
	}
}
