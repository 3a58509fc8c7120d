package raft

import (
	"time"
)

// Role is the part a replica plays.
type Role string

// The roles.
const (
	RoleFollower   Role = "follower"
	RoleCandidate  Role = "candidate"
	RoleLeader     Role = "leader"
	RoleLearner    Role = "learner"
	RoleRecovering Role = "recovering"
)

// firstElection is the part of the election timeout that a replica waits for a
// leader after its start, up to three times as long.
const firstElection = 8

// Core is the state of one replica. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	now        time.Time
	term       uint64
	vote       uint64
	commit     uint64
	applied    uint64
	recovering bool
	log        memLog
	snapshot   Snapshot
	configs    []placed // by index; the last one applies
	role       Role     // RoleFollower, RoleCandidate or RoleLeader
	leader     uint64

	matched uint64 // last index known to agree with the leader of this term

	election  time.Time // when to campaign
	contact   time.Time // last message of a leader
	confirmed time.Time // last contact of a follower, last quorum of a leader

	// Candidate.
	pre      bool      // collecting pre-votes
	began    time.Time // of the last pre-vote
	hopeless bool      // too many voters refused
	force    bool      // campaign of a transfer
	votes    map[uint64]bool
	refused  map[uint64]bool // voters that refused this candidate
	voteSeq  uint64          // persist that holds the own vote

	// Leader.
	peers     map[uint64]*progress
	round     uint64
	heartbeat time.Time
	first     uint64 // index of the empty entry of this term
	reads     []read
	transfer  uint64
	deadline  time.Time // end of the transfer

	// Durability.
	seq        uint64 // last Persist
	hardSeq    uint64 // last Persist with a new term or vote
	acked      uint64 // last Persist acknowledged
	durable    uint64 // last index known to be stored
	pending    []persist
	unsaved    []Entry
	hardDirty  bool
	installing *Snapshot // received and not yet restored
	installSeq uint64
	incoming   *assembly
	marked     bool // recovering changed, for the next Persist
	stepSends  []Message
	held       []held
	out        []Action
}

type placed struct {
	index   uint64
	members Members
}

type persist struct{ seq, last uint64 }

type held struct {
	seq     uint64
	message Message
}

// New returns the core of a replica that starts at now with the stored state.
func New(cfg Config, now time.Time) (*Core, error) {
	cfg.setDefaults()
	c := &Core{
		cfg:        cfg,
		now:        now,
		term:       cfg.Hard.Term,
		vote:       cfg.Hard.Vote,
		snapshot:   cfg.Snapshot,
		applied:    cfg.Snapshot.Index,
		recovering: cfg.Recovering && !cfg.Without.Recovery,
		role:       RoleFollower,
	}
	c.log.reset(cfg.Snapshot.Index, cfg.Snapshot.Term)
	c.configs = []placed{{cfg.Snapshot.Index, cfg.Snapshot.Members}}
	for _, entry := range cfg.Entries {
		if entry.Index != c.log.last()+1 {
			return nil, &MessageError{Kind: "stored", Reason: "entries are not consecutive"}
		}
		if err := c.append(entry); err != nil {
			return nil, err
		}
	}
	c.unsaved = nil
	c.durable = c.log.last()
	c.commit = max(cfg.Snapshot.Index, min(cfg.Hard.Commit, c.log.last()))
	if last := c.log.lastTerm(); last > c.term {
		// A crash came between a received snapshot and the hard state. Nothing
		// was sent in the newer term, so no vote was cast in it.
		c.term, c.vote = last, 0
	}
	// A replica that has just started does not wait for a leader as long as one
	// that had a leader: after a loss of power all of them start together. The
	// pre-vote keeps it from disturbing a leader that lives.
	first := int64(c.cfg.Election) / firstElection
	c.election = now.Add(time.Duration(first + c.cfg.Rand.Int63n(2*first)))
	if c.alone() {
		c.election = now
	}
	return c, nil
}

// Step passes one event to the core and returns what to do, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	if now.After(c.now) {
		c.now = now
	}
	c.out = nil
	switch e := event.(type) {
	case Tick:
	case Receive:
		c.receive(e.Message)
	case Propose:
		c.propose(e.Commands)
	case Persisted:
		c.persisted(e.Seq)
	case Read:
		c.read(e.Token)
	case Transfer:
		c.startTransfer(e.To)
	case Add:
		c.add(e)
	case Remove:
		c.remove(e.ID)
	case Compact:
		c.compact(e.Snapshot)
	}
	c.tick()
	c.advance()
	c.flush()
	return c.out
}

// Next returns the time at which the core wants the next Tick.
func (c *Core) Next() time.Time {
	if c.role == RoleLeader {
		return c.heartbeat
	}
	return c.election
}

func (c *Core) tick() {
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.now.Before(c.election) {
		return
	}
	c.resetElection()
	if c.electable() {
		c.campaign(!c.cfg.Without.PreVote && !c.alone(), false)
	}
}

// members returns the configuration that applies: the last one in the log,
// whether committed or not.
func (c *Core) members() Members { return c.configs[len(c.configs)-1].members }

// membersIndex is the index of the entry that set the configuration.
func (c *Core) membersIndex() uint64 { return c.configs[len(c.configs)-1].index }

func (c *Core) alone() bool {
	m := c.members()
	return m.Voters() == 1 && m.voter(c.cfg.ID)
}

func (c *Core) resetElection() {
	spread := time.Duration(c.cfg.Rand.Int63n(int64(c.cfg.Election)))
	c.election = c.now.Add(c.cfg.Election + spread)
}

// append adds an entry to the log in memory and notes it for the next Persist.
func (c *Core) append(entry Entry) error {
	if entry.Kind == EntryMembers {
		members, err := decodeMembers(entry.Data)
		if err != nil {
			return err
		}
		c.configs = append(c.configs, placed{entry.Index, members})
	}
	c.log.append(entry)
	c.unsaved = append(c.unsaved, entry)
	return nil
}

// truncate drops the entries from index on, and the configurations in them.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	for len(c.configs) > 1 && c.membersIndex() >= index {
		c.configs = c.configs[:len(c.configs)-1]
	}
	c.durable = min(c.durable, index-1)
	for i := range c.pending {
		c.pending[i].last = min(c.pending[i].last, index-1)
	}
}

func (c *Core) setTerm(term, vote uint64) {
	if term == c.term && vote == c.vote {
		return
	}
	c.term, c.vote = term, vote
	c.hardDirty = true
}

// become gives up any other role and follows leader, zero for an unknown one.
func (c *Core) become(term, leader uint64) {
	if term > c.term {
		c.setTerm(term, 0)
	}
	if c.role == RoleLeader {
		c.refuseReads(leader)
		c.peers, c.transfer = nil, 0
	}
	if c.role != RoleFollower {
		c.resetElection()
	}
	c.role, c.leader, c.matched = RoleFollower, leader, 0
	c.votes, c.pre, c.force = nil, false, false
}

func (c *Core) send(m Message) {
	m.From, m.Incarnation, m.Recovering = c.cfg.ID, c.cfg.Incarnation, c.recovering
	if m.Term == 0 {
		m.Term = c.term
	}
	c.stepSends = append(c.stepSends, m)
}
