package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/galenalock/galenalock/control/admin"
	"github.com/galenalock/galenalock/galenactl/command"
)

const text = "[[service]]\nname = \"ledger\"\nfloor = \"80%\"\n"

// run runs galenactl against a server with the handler and returns exit code,
// standard output and standard error.
func run(t *testing.T, h http.Handler, args ...string) (code int, out, errs string) {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	var stdout, stderr bytes.Buffer
	args = append([]string{"--admin", server.Listener.Addr().String(), "--timeout", "500ms"}, args...)
	code = command.Main(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func textFile(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func problem(w http.ResponseWriter, status int, reason, run string) {
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"title": "refused", "reason": %q, "run": %q}`, reason, run)
}

// Guards against a resend with a new change identifier, which would be a second
// change, both within one run of galenactl and across two.
func TestSubmitResendsTheSameChange(t *testing.T) {
	is := is.New(t)
	file := textFile(t, text)
	seen := map[string]int{}
	answer := func(w http.ResponseWriter) { panic(http.ErrAbortHandler) } // the response is lost
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var s admin.Submission
		is.NoErr(json.NewDecoder(r.Body).Decode(&s))
		seen[fmt.Sprint(*s.Base, " ", s.Change)]++
		answer(w)
	})
	code, _, errs := run(t, h, "submit", file, "--base", "4")
	is.Equal(code, command.ExitUnknown)
	is.True(strings.Contains(errs, "run the same command again"))
	_, err := os.Stat(file + ".change")
	is.NoErr(err)

	answer = func(w http.ResponseWriter) { fmt.Fprint(w, `{"outcome": "accepted", "revision": 5, "change": "x"}`) }
	code, out, _ := run(t, h, "submit", file, "--base", "4")
	is.Equal(code, command.ExitDone)
	is.True(strings.Contains(out, "accepted as revision 5"))
	is.Equal(len(seen), 1)
	_, err = os.Stat(file + ".change")
	is.True(os.IsNotExist(err))

	_, _, _ = run(t, h, "submit", file, "--base", "4")
	is.Equal(len(seen), 2) // the last submission was answered, so this is a new change
}

// Guards against exit codes by which a script takes an unknown outcome for a
// failure, or a refusal for success, and against a pending file that is kept or
// removed at the wrong outcome.
func TestExitCodes(t *testing.T) {
	file := textFile(t, text)
	for _, c := range []struct {
		status      int
		reason, run string
		code        int
		kept        bool
	}{
		{409, "conflict", "", command.ExitConflict, false},
		{422, "reused", "", command.ExitConflict, false},
		{504, "unknown", "unknown", command.ExitUnknown, true},
		{503, "noquorum", "no", command.ExitNoQuorum, true},
		{403, "norole", "", command.ExitDenied, false},
		{400, "badtext", "", command.ExitInvalid, false},
		{500, "failed", "", command.ExitFailed, false},
	} {
		t.Run(c.reason, func(t *testing.T) {
			is := is.New(t)
			code, _, _ := run(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				problem(w, c.status, c.reason, c.run)
			}), "submit", file, "--base", "1")
			is.Equal(code, c.code)
			_, err := os.Stat(file + ".change")
			is.Equal(err == nil, c.kept)
			_ = os.Remove(file + ".change")
		})
	}
}

// Guards against requests with invalid files or arguments.
func TestInvalidIsNotSent(t *testing.T) {
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { t.Errorf("sent %s", r.URL) })
	bad := textFile(t, "[[service]]\nname = \"ledger\"\nfloor = \"180%\"\n")
	for _, args := range [][]string{
		{"check", bad}, {"submit", bad, "--base", "1"}, {"submit", textFile(t, text)},
		{"submit", textFile(t, text), "--base", "x"}, {"check", "missing.toml"},
		{"replica", "add", "4", "nowhere"}, {"snapshot", "inspect", bad},
	} {
		code, _, errs := run(t, h, args...)
		if code != command.ExitInvalid || errs == "" {
			t.Errorf("%v: code %d, %q", args, code, errs)
		}
	}
}

// Guards against unintended changes of the tables and JSON documents, and
// against commands without a summary or example.
func TestOutputs(t *testing.T) {
	data, err := os.ReadFile("testdata/answers.json")
	if err != nil {
		t.Fatal(err)
	}
	var answers map[string]json.RawMessage
	if err := json.Unmarshal(data, &answers); err != nil {
		t.Fatal(err)
	}
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(answers[r.Method+" "+r.URL.Path]) })
	file := textFile(t, strings.Replace(text, "80", "85", 1))
	var got bytes.Buffer
	for _, line := range []string{
		"check FILE", "diff FILE", "show", "history", "status", "status --json", "targets", "targets --service tables",
		"drain entry-1", "undrain entry-1", "replica list", "replica add 2 10.0.0.2:7001",
	} {
		code, out, errs := run(t, h, strings.Fields(strings.Replace(line, "FILE", file, 1))...)
		fmt.Fprintf(&got, "$ galenactl %s\n%s%s-> %d\n\n", line, out, errs, code)
	}
	goldie.New(t).Assert(t, "outputs", bytes.ReplaceAll(got.Bytes(), []byte(file), []byte("FILE")))
	for _, c := range command.Commands() {
		if c.Summary == "" || !strings.HasPrefix(c.Example, "galenactl "+c.Name) {
			t.Errorf("%s has no summary or example", c.Name)
		}
	}
}

// Guards against an explain command that finds no lines and still succeeds.
func TestExplain(t *testing.T) {
	is := is.New(t)
	file := textFile(t, `{"time":"2026-04-24T10:00:10Z","instance":"e1","event":"request","request":"r-1","outcome":"refused","reason":"shed"}`+"\n")
	code, out, _ := run(t, http.NotFoundHandler(), "explain", "r-1", "--logs", file)
	is.Equal(code, command.ExitDone)
	is.Equal(out, "10:00:10.000 e1 request outcome=refused reason=shed request=r-1\n")
	code, _, errs := run(t, http.NotFoundHandler(), "explain", "r-2", "--logs", file)
	is.Equal(code, command.ExitInvalid)
	is.True(strings.Contains(errs, "none of 1 lines is about r-2"))
}
