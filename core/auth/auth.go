package auth

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/galenalock/galenalock/core/pace"
	"github.com/galenalock/galenalock/core/serve"
)

// FileError is an error in a token file.
type FileError struct {
	File   string
	Reason string
}

// Error returns the file and the reason.
func (e *FileError) Error() string { return e.File + ": " + e.Reason }

type token struct {
	name   string
	role   Role
	digest [sha256.Size]byte
}

// Auth authenticates bearer tokens against a token file.
type Auth struct {
	file        string
	tokens      atomic.Pointer[[]token]
	lastContent []byte // content of the file in use; accessed by Reload only
}

// New reads a token file. If the name is empty, every request is allowed with the
// role Operate, without a token.
func New(file string) (*Auth, error) {
	a := &Auth{file: file}
	if err := a.Reload(); err != nil {
		return nil, err
	}
	return a, nil
}

// Reload reads the file again. If the file cannot be read or is invalid, the
// previous tokens stay valid. Reload must not be called concurrently.
func (a *Auth) Reload() error {
	if a.file == "" {
		return nil
	}
	data, err := os.ReadFile(a.file)
	if err != nil {
		return eris.Wrap(err, "read token file")
	}
	if a.lastContent != nil && bytes.Equal(a.lastContent, data) {
		return nil
	}
	tokens, reason := parseTokens(data)
	if reason != "" {
		return &FileError{File: a.file, Reason: reason}
	}
	a.tokens.Store(&tokens)
	a.lastContent = data
	return nil
}

// Watch reloads the file at the given interval until ctx ends and calls onError
// for each failure.
func (a *Auth) Watch(ctx context.Context, interval time.Duration, onError func(error)) {
	if a.file == "" {
		return
	}
	pace.Every(ctx, interval, func() {
		if err := a.Reload(); err != nil {
			onError(err)
		}
	})
}

func parseTokens(data []byte) ([]token, string) {
	var raw struct {
		Token []struct {
			Name   string `toml:"name"`
			Role   string `toml:"role"`
			SHA256 string `toml:"sha256"`
		} `toml:"token"`
	}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&raw); err != nil {
		return nil, strings.TrimPrefix(err.Error(), "toml: ")
	}
	tokens := make([]token, 0, len(raw.Token))
	for i, r := range raw.Token {
		t := token{name: r.Name, role: Role(r.Role)}
		if t.name == "" {
			return nil, fmt.Sprintf("token[%d].name: is missing", i)
		}
		if t.role != Read && t.role != Operate {
			return nil, fmt.Sprintf("token[%d].role: %q is neither %q nor %q", i, r.Role, Read, Operate)
		}
		digest, err := hex.DecodeString(r.SHA256)
		if err != nil || len(digest) != sha256.Size {
			return nil, fmt.Sprintf("token[%d].sha256: is not %d hexadecimal digits", i, 2*sha256.Size)
		}
		copy(t.digest[:], digest)
		tokens = append(tokens, t)
	}
	return tokens, ""
}

// Digest returns the SHA-256 digest of a token, in the form used in token files.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the name and the role of a token. It compares every digest
// of the file in constant time, so that its duration does not reveal which token
// matches, or how much of it.
func (a *Auth) Authenticate(presented string) (name string, role Role, ok bool) {
	if a.file == "" {
		return "anyone", Operate, true
	}
	sum := sha256.Sum256([]byte(presented))
	for _, t := range *a.tokens.Load() {
		if subtle.ConstantTimeCompare(sum[:], t.digest[:]) == 1 && !ok {
			name, role, ok = t.name, t.role, true
		}
	}
	return name, role, ok
}

// Require returns middleware that passes on requests whose token has the role.
// Others are answered with status 401 (no valid token) or 403 (another role).
func (a *Auth) Require(role Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			presented, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			_, granted, ok := a.Authenticate(presented)
			if !ok {
				w.Header().Set("WWW-Authenticate", "Bearer")
				serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusUnauthorized, Reason: "notoken", Detail: "a valid bearer token is required"})
				return
			}
			if !granted.Allows(role) {
				serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusForbidden, Reason: "norole", Detail: fmt.Sprintf("the token has the role %q, %q is required", granted, role)})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
