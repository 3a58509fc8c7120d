package group

import (
	"io"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

// MaxCommand bounds one command in bytes. It has to fit into a message together
// with the fields around it.
const MaxCommand = 8 << 20

// Defaults of the options.
const (
	DefaultSnapshotEntries = 16384    // applied entries between snapshots
	DefaultSnapshotBytes   = 32 << 20 // applied bytes between snapshots
)

type settings struct {
	id        uint64
	dir       string
	machine   Machine
	peers     map[uint64]netip.AddrPort
	send      func(to uint64, message []byte)
	found     bool
	logger    *logrus.Entry
	clock     func() time.Time
	files     store.Files
	heartbeat time.Duration
	election  time.Duration
	entries   uint64
	bytes     int
	seed      int64
}

func defaults() settings {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return settings{
		send:      func(uint64, []byte) {},
		logger:    logrus.NewEntry(logger),
		clock:     time.Now,
		files:     store.OS(),
		heartbeat: raft.DefaultHeartbeat,
		election:  raft.DefaultElection,
		entries:   DefaultSnapshotEntries,
		bytes:     DefaultSnapshotBytes,
	}
}

// Option sets a property of a group.
type Option func(*settings)

// WithID sets the number of this replica. It is required and not zero.
func WithID(id uint64) Option { return func(s *settings) { s.id = id } }

// WithDir sets the data folder of this replica. It is required.
func WithDir(dir string) Option { return func(s *settings) { s.dir = dir } }

// WithMachine sets the state machine. It is required.
func WithMachine(m Machine) Option { return func(s *settings) { s.machine = m } }

// WithPeers sets the founding replicas, this one included. Every founder must be
// given the same ones. Later changes go through Add and Remove.
func WithPeers(peers map[uint64]netip.AddrPort) Option {
	return func(s *settings) { s.peers = peers }
}

// WithSend sets the transport. The function must not block; it may lose messages.
func WithSend(send func(to uint64, message []byte)) Option {
	return func(s *settings) { s.send = send }
}

// WithFound lets a replica with an empty folder found a group of its peers. It
// has no effect on a folder that is in use. Turn it off after the first start.
// A founder that lost its disk and still has it on recovers when it hears from a
// replica that knows more than the founding; but it founds a second group if it
// is the only founder, or together with founders that know no more.
func WithFound(found bool) Option { return func(s *settings) { s.found = found } }

// WithLogger sets the logger.
func WithLogger(logger *logrus.Entry) Option { return func(s *settings) { s.logger = logger } }

// WithClock replaces the clock. It is called from several goroutines.
func WithClock(clock func() time.Time) Option { return func(s *settings) { s.clock = clock } }

// WithFiles replaces the file operations.
func WithFiles(files store.Files) Option { return func(s *settings) { s.files = files } }

// WithTimes sets the heartbeat and the shortest election timeout.
func WithTimes(heartbeat, election time.Duration) Option {
	return func(s *settings) { s.heartbeat, s.election = heartbeat, election }
}

// WithSnapshots sets how many applied entries, or bytes of them, lie between two
// snapshots.
func WithSnapshots(entries uint64, bytes int) Option {
	return func(s *settings) { s.entries, s.bytes = entries, bytes }
}

// WithSeed sets the seed of the election timeouts; by default it comes from the
// incarnation of the folder.
func WithSeed(seed int64) Option { return func(s *settings) { s.seed = seed } }
