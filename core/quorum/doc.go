// Package quorum decides which replicas of the control group are voters.
//
// The seeds found the group, which then grows to the number of voters that
// tolerates the configured number of losses. Further replicas are learners. A
// silent voter is replaced in two steps: first a learner is promoted, then the
// silent voter is removed. In the opposite order, the smaller group could not
// elect a leader after the tolerated losses. A voter that was removed by mistake
// joins again as a learner, so a mistake costs two entries of the log.
//
// Decide is a pure function. The leader calls it a few times a second and makes
// one change at a time.
package quorum
