// Package quota keeps the fleet within the requests that a target accepts: the rate
// of one in trouble, the pauses that it asks of an entry, and none when it leaves.
//
// A target may name in its responses how many requests a second it accepts from
// all entries together. Target tracks what one incarnation of a target has named,
// and is a token bucket for the part of the rate that this entry may use. The sum
// of all buckets stays within the rate and a burst:
//
//   - The burst of the fleet is a whole number of tokens, see Burst. Share
//     distributes them among the entries, and each entry gets the same part of the
//     rate as of the burst. Most entries get none if the rate is low.
//   - The shares follow the demand of the entries, which is uneven. Entries tell
//     each other their demand for a service while one of its targets names a
//     limit; Demands holds it. With the same demands, all entries compute the same
//     distribution.
//   - Entries in the region of the target are preferred.
//
// A request takes a token when it is sent. An entry without a token chooses
// another target; nothing waits for tokens.
//
// Limits and demands reach all entries through control. Until an entry knows a
// limit, it does not observe it.
//
// A pause and the notice of leaving are kept by the entry that was told, and are not
// shared. They end with the incarnation of the target.
//
// All methods of Target and Meter are safe for concurrent use. Functions that
// depend on the time take it as an argument.
package quota
