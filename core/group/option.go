package group

import (
	"io"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenalock/galenalock/core/raft"
	"github.com/galenalock/galenalock/core/store"
)

// MaxCommandBytes is the maximum size of a command. A command must fit into one
// message together with the other fields of the message.
const MaxCommandBytes = 8 << 20

// Default limits between two snapshots.
const (
	DefaultSnapshotEntries = 16384    // applied entries between snapshots
	DefaultSnapshotBytes   = 32 << 20 // applied bytes between snapshots
)

type settings struct {
	id                uint64
	dir               string
	machine           Machine
	peers             map[uint64]netip.AddrPort
	send              func(to uint64, message []byte)
	onLeaderChange    func()
	found             bool
	logger            *logrus.Entry
	clock             func() time.Time
	files             store.Files
	heartbeatInterval time.Duration
	electionTimeout   time.Duration
	snapshotEntries   uint64
	snapshotBytes     int
	seed              int64
}

func defaults() settings {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return settings{
		send:              func(uint64, []byte) {},
		onLeaderChange:    func() {},
		logger:            logrus.NewEntry(logger),
		clock:             time.Now,
		files:             store.OS(),
		heartbeatInterval: raft.DefaultHeartbeatInterval,
		electionTimeout:   raft.DefaultElectionTimeout,
		snapshotEntries:   DefaultSnapshotEntries,
		snapshotBytes:     DefaultSnapshotBytes,
	}
}

// Option configures a Group.
type Option func(*settings)

// WithID sets the ID of this replica. It is required and must not be zero.
func WithID(id uint64) Option { return func(s *settings) { s.id = id } }

// WithDir sets the data directory of this replica. It is required.
func WithDir(dir string) Option { return func(s *settings) { s.dir = dir } }

// WithMachine sets the state machine. It is required.
func WithMachine(m Machine) Option { return func(s *settings) { s.machine = m } }

// WithPeers sets the founding replicas, including this one. Every founder must
// be given the same replicas. Later changes are made with Add and Remove.
func WithPeers(peers map[uint64]netip.AddrPort) Option {
	return func(s *settings) { s.peers = peers }
}

// WithSend sets the function that sends a message to another replica. It must
// not block and may drop messages.
func WithSend(send func(to uint64, message []byte)) Option {
	return func(s *settings) { s.send = send }
}

// WithLeaderHook sets a function that is called when this replica learns of another
// leader or term, or loses its leader. Status already shows the change. The function
// must not block.
func WithLeaderHook(f func()) Option { return func(s *settings) { s.onLeaderChange = f } }

// WithFound lets a replica with an empty data directory found a group of its
// peers. It has no effect on a directory that is in use. Turn it off after the
// first start: a founder that lost its disk while the option is on recovers
// once it hears from a replica whose log continues beyond the founding, but it
// founds a second group if it is the only founder, or together with founders
// whose logs do not.
func WithFound(found bool) Option { return func(s *settings) { s.found = found } }

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger *logrus.Entry) Option { return func(s *settings) { s.logger = logger } }

// WithClock replaces time.Now. The function is called from several goroutines.
func WithClock(clock func() time.Time) Option { return func(s *settings) { s.clock = clock } }

// WithFiles replaces the file operations of the store.
func WithFiles(files store.Files) Option { return func(s *settings) { s.files = files } }

// WithTiming sets the heartbeat interval and the minimum election timeout.
func WithTiming(heartbeat, election time.Duration) Option {
	return func(s *settings) { s.heartbeatInterval, s.electionTimeout = heartbeat, election }
}

// WithSnapshotInterval sets the number of applied entries, and of their bytes,
// after which a snapshot is taken; the limit reached first counts.
func WithSnapshotInterval(entries uint64, bytes int) Option {
	return func(s *settings) { s.snapshotEntries, s.snapshotBytes = entries, bytes }
}

// WithSeed sets the seed of the random election timeouts. By default the seed is
// the incarnation of the data directory.
func WithSeed(seed int64) Option { return func(s *settings) { s.seed = seed } }
