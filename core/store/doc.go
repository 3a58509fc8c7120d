// Package store keeps the replicated log of a replica in a folder: a segmented
// log with a checksum for each record, the hard state, one snapshot, and the
// identity of the replica with a random incarnation.
//
// Save syncs once for a whole batch. After any failed write or sync the Store
// refuses further work, because what reached the disk is then unknown. A full disk
// is no such failure: the part that was written is taken back, the call returns a
// *FullError and can be made again. A tail
// that a crash left incomplete is removed by Open; damage before the tail is a
// *DamageError. Damage inside the last batch looks the same as an incomplete
// write and is treated as one.
package store
