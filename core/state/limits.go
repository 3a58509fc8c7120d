package state

import "time"

// Bounds of the state. The identifier table covers 36 days at 1,800 changes a
// day.
const (
	MaxChanges = 1 << 16
	MaxTexts   = 64
	MaxHistory = 32 << 20 // bytes of the stored splices
	MaxAnswers = 64 << 20 // bytes of stored answers; beyond it only status and header are stored
	MaxName    = 256      // bytes of an identifier or a name
	MaxKey     = 1024     // bytes of an idempotency key
	MaxLeases  = 1 << 14
	MaxDrains  = 1 << 14
	MaxHeader  = 8 << 10 // bytes of the header stored with an answer
)

// Times of claims, counted by the machine's time.
const (
	AnswerRetention = 24 * time.Hour   // from the record of the answer
	KeyRetention    = 72 * time.Hour   // from the claim
	markRetention   = 10 * time.Minute // how long a duplicate of a released claim may be on its way
	ownerRetention  = KeyRetention
	minExpiry       = time.Second
	maxExpiry       = 2 * time.Hour // twice the longest timeout of a service text
)

// Times of leases.
const (
	minLease = time.Second
	maxLease = time.Minute
)
