package state

import "time"

// Limits on the size of the state.
const (
	MaxChanges      = 1 << 16  // remembered change identifiers: 36 days at 1,800 changes a day
	MaxRevisions    = 64       // revisions whose text is stored
	MaxHistoryBytes = 32 << 20 // all stored splices
	MaxAnswerBytes  = 64 << 20 // all stored answers; beyond it an answer is stored without its body
	MaxNameBytes    = 256      // an identifier or a name
	MaxKeyBytes     = 1024     // an idempotency key
	MaxLeases       = 1 << 14
	MaxDrains       = 1 << 14
	MaxHeaderBytes  = 8 << 10 // the header stored with an answer
)

// Retention and expiry times of claims, measured by the machine's clock.
const (
	AnswerRetention  = 24 * time.Hour   // since the answer was recorded
	KeyRetention     = 72 * time.Hour   // since the claim was granted
	releaseRetention = 10 * time.Minute // longest delay of a duplicate Claim after its release
	ownerRetention   = KeyRetention
	minExpiry        = time.Second
	maxExpiry        = 2 * time.Hour // twice the longest timeout that a service text may set
)

// Bounds on the duration of a lease.
const (
	minLease = time.Second
	maxLease = time.Minute
)
