package raft

import (
	"time"
)

// Role is the role of a replica in the group.
type Role string

// Roles of a replica.
const (
	RoleFollower   Role = "follower"
	RoleCandidate  Role = "candidate"
	RoleLeader     Role = "leader"
	RoleLearner    Role = "learner"
	RoleRecovering Role = "recovering"
)

// firstElectionDivisor sets the first election timeout after a start, which is
// one to three times Config.ElectionTimeout / firstElectionDivisor.
const firstElectionDivisor = 8

// Core is the Raft state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	started     time.Time
	now         time.Time
	term        uint64
	vote        uint64
	commit      uint64
	applied     uint64
	recovering  bool
	log         memLog
	snapshot    Snapshot
	memberships []indexedMembers // in order of index; the last one is in force
	role        Role             // RoleFollower, RoleCandidate or RoleLeader
	leader      uint64

	matchIndex uint64 // last index known to match the log of this term's leader

	electionDeadline time.Time // when the next campaign starts
	lastContact      time.Time // time of the last message from a leader
	confirmed        time.Time // follower: when it last received a commit index; leader: when a quorum last replied

	// Used by candidates.
	preVote      bool      // collecting pre-votes, not votes
	preVoteStart time.Time // start of the last pre-vote
	unwinnable   bool      // the remaining voters are no majority
	force        bool      // the campaign is part of a leadership transfer
	votes        map[uint64]bool
	rejections   map[uint64]bool // voters that refused this candidate
	voteSeq      uint64          // Persist that holds the replica's own vote

	// Used by leaders.
	peers            map[uint64]*progress
	round            uint64
	nextHeartbeat    time.Time
	termStartIndex   uint64 // index of the empty entry of this term
	pendingReads     []pendingRead
	transferee       uint64
	transferDeadline time.Time // when the transfer is given up

	// State of pending writes.
	seq              uint64 // last Persist
	hardSeq          uint64 // last Persist with a new term or vote
	ackedSeq         uint64 // last Persist acknowledged
	durableIndex     uint64 // last log index known to be stored
	pendingPersists  []pendingPersist
	unsaved          []Entry
	hardDirty        bool
	installing       *Snapshot // received and not yet restored
	installSeq       uint64
	incomingSnapshot *snapshotAssembly
	recoveringDirty  bool // the next Persist contains the recovering flag
	stepSends        []Message
	heldMessages     []heldMessage
	actions          []Action
}

type indexedMembers struct {
	index   uint64
	members Members
}

type pendingPersist struct{ seq, last uint64 }

type heldMessage struct {
	seq     uint64
	message Message
}

// New returns the core of a replica that starts at time now with the stored
// state in cfg.
func New(cfg Config, now time.Time) (*Core, error) {
	cfg.setDefaults()
	c := &Core{
		cfg:        cfg,
		started:    now,
		now:        now,
		term:       cfg.Hard.Term,
		vote:       cfg.Hard.Vote,
		snapshot:   cfg.Snapshot,
		applied:    cfg.Snapshot.Index,
		recovering: cfg.Recovering && !cfg.DisabledRules.DiskRecovery,
		role:       RoleFollower,
	}
	c.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	c.memberships = []indexedMembers{{cfg.Snapshot.Index, cfg.Snapshot.Members}}
	for _, entry := range cfg.Entries {
		if entry.Index != c.log.lastIndex()+1 {
			return nil, &MessageError{Kind: "stored", Reason: "entries are not consecutive"}
		}
		if err := c.append(entry); err != nil {
			return nil, err
		}
	}
	c.unsaved = nil
	c.durableIndex = c.log.lastIndex()
	c.commit = max(cfg.Snapshot.Index, min(cfg.Hard.Commit, c.log.lastIndex()))
	if last := c.log.lastTerm(); last > c.term {
		// The replica crashed after it stored a received snapshot and before
		// it stored the hard state. It sent nothing in the newer term, so it
		// has not voted in it.
		c.term, c.vote = last, 0
	}
	// The first election timeout is shorter than later ones, because after a
	// power failure all replicas start together and there is no leader to wait
	// for. The pre-vote keeps it from disrupting a live leader.
	minTimeout := int64(c.cfg.ElectionTimeout) / firstElectionDivisor
	c.electionDeadline = now.Add(time.Duration(minTimeout + c.cfg.Rand.Int63n(2*minTimeout)))
	if c.isSoleVoter() {
		c.electionDeadline = now
	}
	return c, nil
}

// Step processes one event and returns the actions to carry out, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.actions = nil
	switch e := event.(type) {
	case Tick:
	case Receive:
		c.receive(e.Message)
	case Propose:
		c.propose(e.Commands)
	case Persisted:
		c.handlePersisted(e.Seq)
	case Read:
		c.startRead(e.Token)
	case Transfer:
		c.startTransfer(e.To)
	case Add:
		c.addMember(e)
	case Remove:
		c.removeMember(e.ID)
	case Compact:
		c.compact(e.Snapshot)
	}
	c.tick()
	c.advance()
	c.flush()
	return c.actions
}

// Next returns the time at which the next Tick is due.
func (c *Core) Next() time.Time {
	if c.role == RoleLeader {
		return c.nextHeartbeat
	}
	return c.electionDeadline
}

func (c *Core) tick() {
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionTimeout()
	if c.canCampaign() {
		c.campaign(!c.cfg.DisabledRules.PreVote && !c.isSoleVoter(), false)
	}
}

// members returns the configuration in force, which is the last one in the
// log, whether committed or not.
func (c *Core) members() Members { return c.memberships[len(c.memberships)-1].members }

// membersIndex returns the log index of the configuration in force.
func (c *Core) membersIndex() uint64 { return c.memberships[len(c.memberships)-1].index }

func (c *Core) isSoleVoter() bool {
	m := c.members()
	return m.Voters() == 1 && m.isVoter(c.cfg.ID)
}

func (c *Core) resetElectionTimeout() {
	spread := time.Duration(c.cfg.Rand.Int63n(int64(c.cfg.ElectionTimeout)))
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeout + spread)
}

// append adds an entry to the log in memory and to the next Persist.
func (c *Core) append(entry Entry) error {
	if entry.Kind == EntryMembers {
		members, err := decodeMembers(entry.Data)
		if err != nil {
			return err
		}
		c.memberships = append(c.memberships, indexedMembers{entry.Index, members})
	}
	c.log.append(entry)
	c.unsaved = append(c.unsaved, entry)
	return nil
}

// truncate drops the entries from index on and the configurations they hold.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	for len(c.memberships) > 1 && c.membersIndex() >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
	c.durableIndex = min(c.durableIndex, index-1)
	for i := range c.pendingPersists {
		c.pendingPersists[i].last = min(c.pendingPersists[i].last, index-1)
	}
}

func (c *Core) setTerm(term, vote uint64) {
	if term == c.term && vote == c.vote {
		return
	}
	c.term, c.vote = term, vote
	c.hardDirty = true
}

// becomeFollower makes the replica a follower of leader, which is zero if
// unknown.
func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.setTerm(term, 0)
	}
	if c.role == RoleLeader {
		c.refuseReads(leader)
		c.peers, c.transferee = nil, 0
	}
	if c.role != RoleFollower {
		c.resetElectionTimeout()
	}
	c.role, c.leader, c.matchIndex = RoleFollower, leader, 0
	c.votes, c.preVote, c.force = nil, false, false
}

func (c *Core) send(m Message) {
	m.From, m.Incarnation, m.Recovering = c.cfg.ID, c.cfg.Incarnation, c.recovering
	if m.Term == 0 {
		m.Term = c.term
	}
	c.stepSends = append(c.stepSends, m)
}
