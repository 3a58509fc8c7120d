// Package quorum decides who votes in the control group.
//
// The group is founded by the seeds and grows to the number of voters that
// bears the tolerated losses. Replicas beyond it stand by as learners. A voter
// that has been silent is replaced by a learner: the learner is promoted first
// and the silent voter removed second, because a group that shrinks first could
// not elect a leader after the tolerated losses. A voter that comes back finds
// itself outside and joins again as a learner, so a mistake costs two entries
// of the log.
//
// Decide is pure. The leader asks it a few times a second and carries out one
// change at a time.
package quorum
