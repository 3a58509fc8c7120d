// Package reach decides whether an entry has lost its path to the targets.
//
// A target that cannot be reached from one entry may be out of order, or the entry
// may have lost its path to it. A single entry cannot tell: it has to compare what
// it sees with what another entry sees of the same targets at the same moment.
// Tracker collects the signs that connections cannot be opened, are reset or stay
// silent, and says when a check is due. The check opens connections to a sample of
// all targets and, if none succeeds, asks other entries to do the same. One that
// reaches a target shows that the path is lost, which the entry can bridge with
// that entry; if none does, the targets are down or no entry has a path.
//
// The states and their transitions are in path.chart. A lost path is checked again
// at random intervals until half of a sample is reached.
//
// All methods of Tracker are safe for concurrent use and take the time as an
// argument.
package reach
