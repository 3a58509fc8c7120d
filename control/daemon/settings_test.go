package daemon_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/control/daemon"
	"github.com/galenalock/galenalock/core/conf"
)

const settingsPage = "../../docs/SETTINGS.md"

// Guards against a settings page that differs from the settings of the program. With
// the environment variable UPDATE=1 the test writes the page instead.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(settingsPage)
	is.NoErr(err)
	var s daemon.Settings
	want := conf.ReplaceSection(string(data), "control", s.Table())
	if os.Getenv("UPDATE") == "1" {
		is.NoErr(os.WriteFile(settingsPage, []byte(want), 0o644))
		return
	}
	is.Equal(string(data), want)
}

// Guards against settings with which other instances cannot reach the replica, or
// with which anyone can use the administration interface.
func TestInvalidSettings(t *testing.T) {
	const base = "instance = \"c\"\nfleet = \"f\"\nregion = \"r\"\ndatacentre = \"d\"\nreplica = 1\n"
	for want, more := range map[string]string{
		"peer: must be the address that other instances dial, not 0.0.0.0":      "peer = \"0.0.0.0:1\"\nreplicas = [\"1=10.0.0.1:1\"]",
		"replicas: does not list replica 1, which is to found the group":        "peer = \"10.0.0.1:1\"\nfound = true\nreplicas = [\"2=10.0.0.2:1\"]",
		"tokens: is required, because the admin address is no loopback address": "peer = \"10.0.0.1:1\"\nadmin = \"10.0.0.1:2\"\nreplicas = [\"1=10.0.0.1:1\"]",
		"tls.key: tls.cert and tls.key belong together":                         "peer = \"10.0.0.1:1\"\nreplicas = [\"1=10.0.0.1:1\"]\ntls.cert = \"c.pem\"",
		"tls.authority: tls.cert and tls.authority belong together":             "peer = \"10.0.0.1:1\"\nreplicas = [\"1=10.0.0.1:1\"]\ntls.cert = \"c.pem\"\ntls.key = \"k.pem\"",
		"snapshot: 1 lies outside 16 to 1048576":                                "peer = \"10.0.0.1:1\"\nreplicas = [\"1=10.0.0.1:1\"]\nsnapshot = 1",
		"":                                                                      "peer = \"10.0.0.1:1\"\nreplicas = [\"1=10.0.0.1:1\"]",
	} {
		file := filepath.Join(t.TempDir(), "control.toml")
		if err := os.WriteFile(file, []byte(base+more), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := daemon.Load(file)
		if want == "" && err != nil || want != "" && (err == nil || err.Error() != file+": "+want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// Guards against an example file that differs from the settings of the program.
// With the environment variable UPDATE=1 the test writes the file instead.
func TestExampleFile(t *testing.T) {
	is := is.New(t)
	const file = "../../docs/examples/control.toml"
	var s daemon.Settings
	want := "# Settings of the program control. Lines that are commented out show the default.\n\n" + conf.Sample(s.Table())
	if os.Getenv("UPDATE") == "1" {
		is.NoErr(os.WriteFile(file, []byte(want), 0o644))
		return
	}
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(data), want)
}
