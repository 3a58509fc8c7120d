// Package store persists the replicated log of a replica in a directory: a
// segmented log with a checksum for each record, the hard state, one snapshot,
// and the identity of the replica with a random incarnation.
//
// Save syncs once for a whole batch. After any failed write or sync the Store
// refuses further work, because it is unknown which data reached the disk. A full
// disk is an exception: a partly written batch is removed, and the call returns a
// *FullError and can be repeated.
//
// Open removes an incomplete tail that a crash left. Damage before the tail is a
// *DamageError. Damage inside the last batch cannot be told from an incomplete
// write and is treated as one.
package store
