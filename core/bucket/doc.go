// Package bucket keeps the request rates of workspaces within limits that hold for the
// whole fleet.
//
// The leader of control has a token bucket for each workspace (Allocator). An entry
// asks it for tokens and holds them for its requests (Stock). One token is one request.
// Time is passed in as a duration since an arbitrary moment, by a clock that includes
// the time during which the machine is suspended.
//
// # Bound
//
// With a limit of r requests a second and a burst of b, at most
// (5 s x r + b) x 1.1 + 20 requests of the workspace run in any window of 5 s, over all
// entries. The excess over 5 s x r + b, that is 0.5 s x r + 0.1 x b + 20, is spent thus:
//
//   - A token expires a lifetime L after its question was sent, by the clock of the
//     entry, and hence at most L after it was granted. A window of 5 s holds tokens that
//     were granted in 5 s + L. L x r is at most 0.3 s x r + 0.1 x b + 10.
//   - Unused tokens return to the bucket up to an age R. Without a further rule, tokens
//     could circulate while the bucket fills up beside them. So the bucket is refilled
//     only while its level and the tokens granted in the last R are together at most its
//     depth + R x r. Then the tokens used in any time T are at most depth + R x r + T x r.
//     R x r is at most 0.15 s x r + 5.
//   - The depth of the bucket is b, or 0.05 s x r + 4 if that is more.
//
// Tokens in an answer that is lost expire unused. A question is answered once, so a
// return is counted once; an entry does not repeat a return whose question was lost.
//
// # Without answers
//
// Questions pass through the replicas of control. Each answer carries the rate at which
// the entry continues for the workspace if answers stop, and one at which the replica goes
// on granting tokens (Standby) if the leader does not answer it: the average of the last
// seconds, as far as the sums over all entries and over all replicas stay within 0.2 x r
// and 0.6 x r. A promise shrinks with a time constant of 5 s at both sides, and the leader
// does not reduce it otherwise, since the holder may miss the answer. An entry begins to
// use it 0.5 s, a replica 0.3 s after it sent the last question that was answered; both
// stop 4 s after. The leader knows that time from the questions, also if only its answers
// are lost. It takes the promised rate out of the bucket for that time. Promises are at
// most 0.8 x r, so the bucket still fills. The answer of a replica is no contact with the
// leader for the entry, so the time of its own promise does not move.
//
// Most entries are promised less than one request in 4 s. The first one therefore comes
// at a random time, with the right average. The sum over n entries exceeds the charge by
// at most a few times the square root of n/4, and only while entries are cut off.
//
// # Cases
//
//   - Change of the leader. A leader grants tokens only within LeaseTime of the start of
//     a read that a majority confirmed; a later leader is elected after that read. It
//     waits for OfficeDelay, which is longer, and begins with an empty bucket. It does
//     not know the promises of its predecessors, which are at most 0.8 x r together. It
//     keeps that part back, as far as it has not been released, until the promises have
//     ended, and makes new ones only out of the rest. Entries and replicas drop and
//     release them when it answers. The part of the replicas is granted as soon as all of
//     them have told that they use promises of this leader only.
//   - Cut entries: see above. After 4 s they have no token.
//   - Restarts, added entries: a Stock begins without tokens and promises. The promises
//     to the former incarnation are charged until they end.
//   - Suspension: tokens and promises end by a clock that goes on.
//   - Frozen leader: its lease ends by such a clock. A late answer carries tokens whose
//     lifetime counts from the question.
//   - Lowered limit: the leader keeps no more tokens than the new depth and scales its
//     promises. An entry that knows the limit drops its tokens and does the same.
package bucket
