// Package delta turns a revision of the service text into the message that
// carries it: a splice of the text that the receiver has, or the whole text.
//
// A splice names how many bytes of the base stay at the start and at the end,
// and carries what stands between them. Most changes edit one place, for which
// this is close to the smallest message; any other change is still correct,
// because the checksum covers the whole text.
package delta
