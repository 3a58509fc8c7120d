package proxy

import (
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
	"github.com/galenalock/galenalock/core/update"
)

const headerAuthorization = "Authorization"

// Fields of headerRelay that describe the key of a request.
const (
	relayWorkspace = "workspace"
	relayKey       = "key" // digest of the key, in hexadecimal notation
)

// access is what the key of a request proves. The zero value is that of a request
// to which no keys apply.
type access struct {
	// enforced means that the configuration has keys, so that the target must not see
	// the key, and learns the workspace from this entry only.
	enforced  bool
	proven    bool // the request may run as long as the key belongs to the workspace
	workspace string
	digest    spec.Digest

	// Of a relayed request, what the entry that passed it on states; empty without a key.
	relayedWorkspace string
	relayedDigest    string
}

// accessError means that the key of a request does not let it run now.
type accessError struct{ reason refuse.Reason }

// Error returns the reason. It does not contain the key.
func (e *accessError) Error() string { return e.reason.Title() }

// refusal returns the refusal of a request that has not run.
func (e *accessError) refusal() *refuse.Error {
	out := &refuse.Error{Reason: e.reason, Run: refuse.NotRun}
	if e.reason == refuse.Unconfirmed {
		out.RetryAfter = retryElsewhere
	}
	return out
}

// authorize sets the workspace of the request: that of its key if the configuration
// has keys, and the one that the caller names otherwise.
func (c *call) authorize(route *spec.Route) error {
	text := c.request.View.Text
	if c.proxy.dialect.KeyScheme == "" || !text.HasKeys() {
		if c.access.relayedDigest != "" {
			return (&accessError{refuse.Unauthorized}).refusal() // by an older or newer configuration than that of the other entry
		}
		return c.matchWorkspace(text)
	}
	c.access.enforced = true
	c.removeTrailers()
	digest, sent := c.sentKey()
	workspace, fresh := c.findKey(digest, sent)
	known := workspace != nil && (!c.relayed || workspace.Name == c.access.relayedWorkspace)
	switch {
	case !known && route.Public && (!c.relayed || !sent):
		return nil
	case !known:
		return unknownKey(fresh).refusal()
	case fresh == update.Outdated:
		return (&accessError{refuse.Unconfirmed}).refusal()
	case !workspace.Allows(c.request.Service.Name):
		return notRunError(refuse.NoWorkspace, "")
	}
	c.access.proven, c.access.workspace, c.access.digest = true, workspace.Name, digest
	c.request.Workspace = workspace.Name
	return nil
}

// checkAccess returns an *accessError if the key of the request does not let it run
// now. It is called before each send, since the key may have been withdrawn while the
// request waited.
func (c *call) checkAccess() error {
	if !c.access.proven {
		return nil
	}
	workspace, fresh := c.findKey(c.access.digest, true)
	switch {
	case workspace == nil || workspace.Name != c.access.workspace:
		return unknownKey(fresh)
	case fresh == update.Outdated:
		return &accessError{refuse.Unconfirmed}
	}
	return nil
}

// unknownKey returns the error for a missing or unknown key. Only the newest
// configuration shows that it is unknown for good.
func unknownKey(fresh update.Freshness) *accessError {
	if fresh == update.Newest {
		return &accessError{refuse.Unauthorized}
	}
	return &accessError{refuse.Unconfirmed}
}

// findKey returns the workspace of a key by the newest view, or nil, and the freshness
// of that view. The freshness is read first: a view that is published in between is
// newer than the one that it describes, never older.
func (c *call) findKey(digest spec.Digest, sent bool) (*spec.Workspace, update.Freshness) {
	fresh := c.proxy.hooks.Freshness()
	view := c.proxy.hooks.View()
	if !sent || view == nil || view.Text == nil {
		return nil, fresh
	}
	return view.Text.WorkspaceOfKey(digest), fresh
}

// sentKey returns the digest of the key that was sent with the request. A request with
// several credentials has none, since a target might take another one of them.
func (c *call) sentKey() (spec.Digest, bool) {
	if c.relayed {
		raw, err := hex.DecodeString(c.access.relayedDigest)
		if err != nil || len(raw) != len(spec.Digest{}) {
			return spec.Digest{}, c.access.relayedDigest != ""
		}
		return spec.Digest(raw), true
	}
	values := c.r.Header[headerAuthorization]
	if len(values) != 1 {
		return spec.Digest{}, false
	}
	scheme, key, ok := strings.Cut(strings.TrimSpace(values[0]), " ")
	if key = strings.TrimSpace(key); !ok || key == "" || !strings.EqualFold(scheme, c.proxy.dialect.KeyScheme) {
		return spec.Digest{}, false
	}
	return spec.DigestKey(key), true
}

// setAccessHeader removes the key from the header for targets and sets the workspace,
// whatever the caller has sent for it.
func (c *call) setAccessHeader(h http.Header) {
	if !c.access.enforced {
		return
	}
	delete(h, headerAuthorization)
	name := c.proxy.dialect.WorkspaceOut
	if name == "" {
		return
	}
	delete(h, name)
	if c.access.proven {
		h[name] = []string{c.access.workspace}
	}
}

// removeTrailers removes what setAccessHeader removes from the trailer. It is called
// again when the body has been read, since trailers may come unannounced.
func (c *call) removeTrailers() {
	if c.access.enforced {
		delete(c.r.Trailer, headerAuthorization)
		delete(c.r.Trailer, c.proxy.dialect.WorkspaceOut)
	}
}

// relayFields returns the fields of headerRelay for the key of the request.
func (c *call) relayFields() string {
	if !c.access.proven {
		return ""
	}
	return " " + relayWorkspace + "=" + c.access.workspace + " " + relayKey + "=" + c.access.digest.String()
}

// claimKey returns the key of the claim for the request. Workspaces that prove
// themselves by a key do not share idempotency keys, which contain no space.
func (c *call) claimKey() string {
	if !c.access.proven {
		return c.key
	}
	return c.access.workspace + " " + c.key
}
