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

// FileError is a fault of a token file.
type FileError struct {
	File   string
	Reason string
}

// Error names file and reason.
func (e *FileError) Error() string { return e.File + ": " + e.Reason }

type token struct {
	name   string
	role   Role
	digest [sha256.Size]byte
}

// Auth checks the tokens of one file.
type Auth struct {
	file   string
	tokens atomic.Pointer[[]token]
	loaded []byte // owned by the caller of Reload
}

// New reads a token file. An empty name gives every caller both roles.
func New(file string) (*Auth, error) {
	a := &Auth{file: file}
	if err := a.Reload(); err != nil {
		return nil, err
	}
	return a, nil
}

// Reload reads the file again. When the file is faulty the tokens read before
// stay valid. It is not safe for concurrent use with itself.
func (a *Auth) Reload() error {
	if a.file == "" {
		return nil
	}
	data, err := os.ReadFile(a.file)
	if err != nil {
		return eris.Wrap(err, "token file")
	}
	if a.loaded != nil && bytes.Equal(a.loaded, data) {
		return nil
	}
	tokens, reason := parse(data)
	if reason != "" {
		return &FileError{File: a.file, Reason: reason}
	}
	a.tokens.Store(&tokens)
	a.loaded = data
	return nil
}

// Watch reloads the file at intervals until ctx ends and reports each failure.
func (a *Auth) Watch(ctx context.Context, every time.Duration, failed func(error)) {
	if a.file == "" {
		return
	}
	pace.Every(ctx, every, func() {
		if err := a.Reload(); err != nil {
			failed(err)
		}
	})
}

func parse(data []byte) ([]token, string) {
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

// Digest returns the form of a token that a token file holds.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Check returns the name and the role of a token. The time that it takes does
// not depend on which token of the file matches, or how far.
func (a *Auth) Check(presented string) (name string, role Role, ok bool) {
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

// Require lets requests with a role pass and refuses others with 401 or 403.
func (a *Auth) Require(role Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			presented, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			_, has, ok := a.Check(presented)
			if !ok {
				w.Header().Set("WWW-Authenticate", "Bearer")
				serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusUnauthorized, Reason: "notoken", Detail: "a valid bearer token is required"})
				return
			}
			if !has.Allows(role) {
				serve.WriteProblem(w, r, &serve.ProblemError{Status: http.StatusForbidden, Reason: "norole", Detail: fmt.Sprintf("the token has the role %q, %q is required", has, role)})
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
