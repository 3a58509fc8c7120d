// Package turns decides when callers that wait for the same dependency may try it.
//
// The load it answers is a dependency that is not available while many callers ask:
// a control group without a leader, when a whole fleet starts. The number of attempts
// in a time does not depend on the number of callers. While attempts fail, one caller
// at a time tries after an interval. Once an attempt succeeds, all may try, up to a
// number at a time and in the order in which they arrived.
package turns
