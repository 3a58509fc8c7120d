package auth_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/auth"
)

func tokenEntry(name, role, token string) string {
	return fmt.Sprintf("[[token]]\nname = %q\nrole = %q\nsha256 = %q\n", name, role, auth.Digest(token))
}

// Guards against a token that grants more than its role, and against an invalid
// file whose reload locks operators out or lets every request in.
func TestRolesAndReload(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "tokens.toml")
	write := func(s string) { is.NoErr(os.WriteFile(file, []byte(s), 0o600)) }
	write(tokenEntry("viewers", "read", "r") + tokenEntry("operators", "operate", "o"))
	a, err := auth.New(file)
	is.NoErr(err)
	status := func(role auth.Role, token string) int {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		if token != "" {
			r.Header.Set("Authorization", "Bearer "+token)
		}
		a.Require(role)(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})).ServeHTTP(w, r)
		return w.Code
	}
	is.Equal(status(auth.Read, "r"), 200)
	is.Equal(status(auth.Operate, "r"), 403)
	is.Equal(status(auth.Operate, "o"), 200)
	is.Equal(status(auth.Read, "o"), 200)
	is.Equal(status(auth.Read, ""), 401)
	is.Equal(status(auth.Read, "other"), 401)

	for _, invalid := range []string{"nonsense", tokenEntry("x", "all", "x"), "[[token]]\nname = 'x'\nrole = 'read'\nsha256 = ''\n"} {
		write(invalid)
		is.True(a.Reload() != nil)
		is.Equal(status(auth.Operate, "o"), 200)
	}
	write(tokenEntry("operators", "operate", "new"))
	is.NoErr(a.Reload())
	is.Equal(status(auth.Operate, "o"), 401)
	is.Equal(status(auth.Operate, "new"), 200)
}
