package daemon_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/conf"
	"github.com/galenalock/galenalock/entry/daemon"
)

const settingsPage = "../../docs/SETTINGS.md"

// Guards against a settings page that differs from the settings of the program.
// With the environment variable UPDATE=1 the test writes the page instead.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	var s daemon.Settings
	want := conf.ReplaceSection(string(data), "entry", s.Table())
	if os.Getenv("UPDATE") == "1" {
		is.NoErr(os.WriteFile(settingsPage, []byte(want), 0o644))
		return
	}
	is.Equal(string(data), want)
}

// Guards against invalid settings that are accepted, such as a peer address that
// other instances cannot reach.
func TestInvalidSettings(t *testing.T) {
	const base = `instance = "e"
fleet = "f"
region = "r"
datacentre = "d"
traffic = "0.0.0.0:80"
control = ["10.0.0.1:7001"]
`
	for want, more := range map[string]string{
		"peer: must be the address that other instances dial, not 0.0.0.0": `peer = "0.0.0.0:1"`,
		"peer: is missing":                                                   ``,
		"limit: 0s lies outside 1s to 1h0m0s":                                "peer = \"10.0.0.1:1\"\nlimit = \"0s\"",
		"kill: must be 0s or at least 1s":                                    "peer = \"10.0.0.1:1\"\nkill = \"900ms\"",
		"tls.key: tls.cert and tls.key belong together":                      "peer = \"10.0.0.1:1\"\ntls.cert = \"c.pem\"",
		"tls.traffickey: tls.trafficcert and tls.traffickey belong together": "peer = \"10.0.0.1:1\"\ntls.trafficcert = \"c.pem\"",
		"": `peer = "10.0.0.1:1"`,
	} {
		file := filepath.Join(t.TempDir(), "entry.toml")
		if err := os.WriteFile(file, []byte(base+more), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := daemon.Load(file)
		if want == "" && err != nil || want != "" && (err == nil || err.Error() != file+": "+want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Guards against a stop that the platform cuts short, and against one that gives
// requests in flight less time than there is.
func TestStopEndsBeforeProcessIsKilled(t *testing.T) {
	is := is.New(t)
	for _, kill := range []time.Duration{time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		s := daemon.Settings{Grace: 3 * time.Second, Limit: 10 * time.Minute, Kill: kill}
		grace, limit := s.StopTimes()
		end := grace + limit + limit/8
		is.True(end < kill && kill-end < 100*time.Millisecond)
		is.Equal(grace, min(3*time.Second, kill/2))
		is.True(limit > kill/3)
	}
	s := daemon.Settings{Grace: 3 * time.Second, Limit: time.Second, Kill: time.Minute}
	_, limit := s.StopTimes()
	is.Equal(limit, time.Second)
	s.Kill = 0
	grace, limit := s.StopTimes()
	is.Equal(grace, 3*time.Second)
	is.Equal(limit, time.Second)
}

// Guards against an example file that differs from the settings of the program.
// With the environment variable UPDATE=1 the test writes the file instead.
func TestExampleFile(t *testing.T) {
	is := is.New(t)
	const file = "../../docs/examples/entry.toml"
	var s daemon.Settings
	want := "# Settings of the program entry. Lines that are commented out show the default.\n\n" + conf.Sample(s.Table())
	if os.Getenv("UPDATE") == "1" {
		is.NoErr(os.WriteFile(file, []byte(want), 0o644))
		return
	}
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(data), want)
}
