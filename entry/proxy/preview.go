package proxy

import (
	"net/http"
	"strings"

	"github.com/galenalock/galenalock/core/refuse"
	"github.com/galenalock/galenalock/core/spec"
)

// RouteOf returns the route of a request and the decoded path that determines the kind,
// as the data path does, or the reason why the request would be refused.
func RouteOf(text *spec.Text, r *http.Request) (*spec.Route, string, error) {
	if err := checkUpgrade(r); err != nil {
		return nil, "", err
	}
	path, err := cleanPath(r.URL.Path)
	if err != nil {
		return nil, "", err
	}
	route := text.Match(hostname(r.Host), path)
	if route == nil {
		return nil, "", notRunError(refuse.NoRoute, "")
	}
	if route.StripPrefix && route.Prefix != "" {
		path = ensureSlash(strings.TrimPrefix(path, route.Prefix))
	}
	return route, path, nil
}
