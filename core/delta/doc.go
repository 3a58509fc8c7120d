// Package delta encodes a revision of the service text for a receiver: as a
// splice of the text that the receiver has, or as the whole text.
//
// A splice holds the lengths of the common prefix and suffix of both texts, and
// the compressed bytes between them. Most changes edit one place, for which this
// is close to the smallest possible message. Any other change gives a larger
// message, which is still correct because the checksum covers the whole text.
package delta
