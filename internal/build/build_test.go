package build

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// run runs a command in a directory, without version control, and returns its output.
func run(t *testing.T, directory, name string, args ...string) string {
	t.Helper()
	c := exec.Command(name, args...)
	c.Dir = directory
	c.Env = append(os.Environ(), "GIT_DIR=/dev/null")
	output, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %s: %v\n%s", name, strings.Join(args, " "), err, output)
	}
	return strings.TrimSpace(string(output))
}

// copySources copies the tree to a new directory, without its history.
func copySources(t *testing.T) string {
	t.Helper()
	directory := t.TempDir()
	entries, err := os.ReadDir("../..")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if name := e.Name(); name != ".git" && name != "journal" && name != "bin" {
			run(t, "../..", "cp", "-r", name, directory)
		}
	}
	return directory
}

// buildLine returns the command with which the users build the daemon.
func buildLine(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/system.toml")
	if err != nil {
		t.Fatal(err)
	}
	line := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	if line == nil {
		t.Fatal("deploy/system.toml has no build line")
	}
	return strings.ReplaceAll(string(line[1]), `\"`, `"`)
}

// TestVersionTellsBuildsApart guards against a program that ran from an older build
// without any line or flag that told so, where no version control stamps the build.
func TestVersionTellsBuildsApart(t *testing.T) {
	build := func(directory string) (version, digest string) {
		run(t, directory, "sh", "-c", buildLine(t))
		return run(t, directory, "target/amaranthsilld", "--version"), run(t, directory, "sh", "scripts/sources.sh")
	}
	directory := copySources(t)
	first, digest := build(directory)
	if !regexp.MustCompile(`sources=[0-9a-f]{16} build=[0-9a-f]{40} `).MatchString(first) || !strings.Contains(first, digest) {
		t.Fatalf("version %q does not have the digest %s and a build ID", first, digest)
	}
	file := filepath.Join(directory, "succession", "record.go")
	source, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, append(source, "\nvar changed = RecordKey\n"...), 0o600); err != nil {
		t.Fatal(err)
	}
	second, changed := build(directory)
	if digest == changed || !strings.Contains(second, changed) {
		t.Errorf("sources %s and %s, version %q", digest, changed, second)
	}
	id := regexp.MustCompile(`build=(\w+)`)
	if id.FindString(first) == id.FindString(second) {
		t.Errorf("both builds have %s", id.FindString(first))
	}
}

// TestFailedBuildLeavesNoProgram guards against an older program that runs in place of one
// that could not be built.
func TestFailedBuildLeavesNoProgram(t *testing.T) {
	directory := t.TempDir()
	for _, d := range []string{"target", "scripts"} {
		if err := os.Mkdir(filepath.Join(directory, d), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	old := filepath.Join(directory, "target", "amaranthsilld")
	if err := os.WriteFile(old, nil, 0o700); err != nil {
		t.Fatal(err)
	}
	c := exec.Command("sh", "-c", buildLine(t))
	c.Dir = directory
	if output, err := c.CombinedOutput(); err == nil {
		t.Fatalf("the build succeeded without sources: %s", output)
	}
	if _, err := os.Stat(old); !os.IsNotExist(err) {
		t.Errorf("the older program is still there: %v", err)
	}
}
