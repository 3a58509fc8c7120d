package poison

import "encoding/hex"

// Print identifies requests that are the same for a target: a cryptographic hash,
// so that nobody can construct a request with the print of another one.
type Print [16]byte

// String returns the print in hexadecimal digits.
func (p Print) String() string { return hex.EncodeToString(p[:]) }
