// Package auth authenticates bearer tokens against a file of token digests and
// roles.
//
// The file contains SHA-256 digests, so that a copy of it grants no access:
//
//	[[token]]
//	name = "operators"
//	role = "operate"
//	sha256 = "5994471abb01112afcc18159f6cc74b4f511b99806da59b3caf5a9c173cacfc5"
package auth
