package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// start runs the program, waits until it is ready and returns the address of its
// administration interface.
func start(t *testing.T, program, file string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.Command(program, "-settings", file)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var line struct{ Event, Admin string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "ready" {
			return cmd, line.Admin
		}
	}
	t.Fatal("the program ended before it was ready")
	return nil, ""
}

func submit(addr string, base int, change string) (map[string]any, error) {
	body, err := json.Marshal(map[string]any{"base": base, "change": change, "text": "# " + change + "\n"})
	if err != nil {
		return nil, err
	}
	resp, err := http.Post("http://"+addr+"/v1/submit", "application/json", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	doc := map[string]any{}
	return doc, json.NewDecoder(resp.Body).Decode(&doc)
}

// Guards against a killed replica that loses an acknowledged change or applies a
// change that is sent again a second time, and against wrong exit codes.
func TestKilledReplica(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program")
	}
	is := is.New(t)
	dir := t.TempDir()
	program := filepath.Join(dir, "control")
	built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, built)
	}
	file := filepath.Join(dir, "control.toml")
	settings := strings.Join([]string{
		`instance = "control-1"`, `fleet = "f"`, `region = "r"`, `datacentre = "d"`, `replica = 1`,
		`peer = "127.0.0.1:0"`, `admin = "127.0.0.1:0"`, `replicas = ["1=127.0.0.1:1"]`, `found = true`, `snapshot = 100`,
		fmt.Sprintf("data = %q", filepath.Join(dir, "data")),
	}, "\n")
	is.NoErr(os.WriteFile(file, []byte(settings+"\nnonsense = 1\n"), 0o600))
	var exit *exec.ExitError
	is.True(errors.As(exec.Command(program, "-settings", file).Run(), &exit))
	is.Equal(exit.ExitCode(), 2)

	is.NoErr(os.WriteFile(file, []byte(settings), 0o600))
	base := 0
	for round := range 3 {
		cmd, addr := start(t, program, file)
		if base > 0 {
			// Send the last change again, as if its answer had been lost.
			doc, err := submit(addr, base-1, fmt.Sprint("change-", base-1))
			is.NoErr(err)
			is.Equal(doc["revision"], float64(base))
			is.Equal(doc["newest"], float64(base))
		}
		for range 170 {
			doc, err := submit(addr, base, fmt.Sprint("change-", base))
			is.NoErr(err)
			base++
			is.Equal(doc["revision"], float64(base))
		}
		if round < 2 {
			is.NoErr(cmd.Process.Kill())
			_ = cmd.Wait()
			continue
		}
		is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
		is.NoErr(cmd.Wait())
	}
}
