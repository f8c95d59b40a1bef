package cli

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// consoleFence begins a block of a page whose commands are run and whose outputs are compared.
	consoleFence = "```console"
	fence        = "```"
	prompt       = "$ "
	// settleTime bounds how long a read-only command is repeated until its output matches the page's.
	settleTime     = 20 * time.Second
	settleInterval = 50 * time.Millisecond
)

// pageStep is one command of a page and the output that the page shows for it.
type pageStep struct {
	command string
	output  string
}

// readSteps returns the commands of a page's console blocks in order. A command may be continued after a backslash.
func readSteps(page string) []pageStep {
	var steps []pageStep
	inside := false
	for line := range strings.SplitSeq(page, "\n") {
		switch {
		case strings.HasPrefix(line, fence):
			inside = line == consoleFence
		case inside && strings.HasPrefix(line, prompt):
			steps = append(steps, pageStep{command: strings.TrimPrefix(line, prompt)})
		case inside && len(steps) > 0:
			last := &steps[len(steps)-1]
			if strings.HasSuffix(last.command, "\\") {
				last.command = strings.TrimSuffix(last.command, "\\") + strings.TrimSpace(line)
			} else {
				last.output += line + "\n"
			}
		}
	}
	return steps
}

var (
	backgroundCommand = regexp.MustCompile(`^(.+) 2>\s?(\S+)\.log &$`)
	jobName           = regexp.MustCompile(`%\?(\S+)`)
)

// buildScript returns a testscript for the steps of a page. Processes that the page starts with "2> NAME.log &" run
// in the background. Those that the page kills with -9 must fail; all others must succeed.
func buildScript(steps []pageStep) string {
	var script, files strings.Builder
	var killed []string
	for _, step := range steps {
		if strings.HasPrefix(step.command, "kill -9 ") {
			killed = append(killed, jobNames(step.command)...)
		}
	}
	for index, step := range steps {
		started := backgroundCommand.FindStringSubmatch(step.command)
		words := strings.Fields(step.command)
		switch {
		case started != nil:
			name := jobID(started[2])
			if slices.Contains(killed, name) {
				script.WriteString("! ")
			}
			fmt.Fprintf(&script, "exec %s &%s&\n", started[1], name)
		case words[0] == "wait":
			fmt.Fprintf(&script, "wait %s\n", strings.Join(jobNames(step.command), "\nwait "))
		case words[0] == "kill":
			script.WriteString(buildKillScript(step.command))
		case words[0] == "export":
			fmt.Fprintf(&script, "env %s\n", strings.TrimPrefix(step.command, "export "))
		default:
			fmt.Fprintf(&script, "shows want%d %s\n", index, step.command)
			fmt.Fprintf(&files, "-- want%d --\n%s", index, step.output)
		}
	}
	return script.String() + files.String()
}

// buildKillScript returns the lines that signal the named processes and wait for them to end.
func buildKillScript(command string) string {
	signal := "INT"
	if strings.HasPrefix(command, "kill -9 ") {
		signal = "KILL"
	}
	var script strings.Builder
	for _, name := range jobNames(command) {
		fmt.Fprintf(&script, "kill -%s %s\n", signal, name)
	}
	for _, name := range jobNames(command) {
		fmt.Fprintf(&script, "wait %s\n", name)
	}
	return script.String()
}

// jobNames returns the background processes that a command names.
func jobNames(command string) []string {
	var names []string
	for _, match := range jobName.FindAllStringSubmatch(command, -1) {
		names = append(names, jobID(match[1]))
	}
	return names
}

// jobID returns a background process's name in the form that testscript allows.
func jobID(name string) string { return strings.ReplaceAll(strings.TrimSuffix(name, ".yaml"), "-", "") }

// compareOutput implements the script command "shows": it runs a command and compares its output with the page's. A
// read-only command is repeated until the output matches, because processes take a moment to connect to each other.
func compareOutput(script *testscript.TestScript, _ bool, arguments []string) {
	want, command := outputPattern(script.ReadFile(arguments[0])), arguments[1:]
	repeat := command[0] == "curl" || slices.Contains(command, "status") || slices.Contains(command, "upgrade")
	for until := time.Now().Add(settleTime); ; time.Sleep(settleInterval) {
		err := script.Exec(command[0], command[1:]...)
		got := collapseSpaces(script.ReadFile("stdout") + script.ReadFile("stderr"))
		if want.MatchString(got) {
			return
		}
		if !repeat || time.Now().After(until) {
			script.Fatalf("%s: %v: the output is not the page's; it is:\n%s\nand should match:\n%s", strings.Join(command, " "), err, got, want)
		}
	}
}

var spaces = regexp.MustCompile(`[ ]+`)

// collapseSpaces replaces runs of spaces by one, because the width of a column depends on its longest text.
func collapseSpaces(text string) string {
	var lines []string
	for line := range strings.SplitSeq(strings.TrimSpace(text), "\n") {
		lines = append(lines, strings.TrimSpace(spaces.ReplaceAllString(line, " ")))
	}
	return strings.Join(lines, "\n")
}

// outputPattern returns the pattern of a page's output. "..." matches any text within a line; a line that consists of
// it matches any lines.
func outputPattern(output string) *regexp.Regexp {
	var lines []string
	for line := range strings.SplitSeq(collapseSpaces(output), "\n") {
		if line == "..." {
			lines = append(lines, `(?s:.*)`)
		} else {
			lines = append(lines, strings.ReplaceAll(regexp.QuoteMeta(line), `\.\.\.`, `.*`))
		}
	}
	return regexp.MustCompile(`^` + strings.Join(lines, `\n`) + `$`)
}

var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:17\d{3}\b`)

// Ports below the range that systems use for outgoing connections. A port in that range could be taken between the check
// that it is free and its use.
const (
	firstPort = 20000
	lastPort  = 31999
)

// freeAddresses returns a function that replaces each example address in the texts by one with a free port.
func freeAddresses(t *testing.T, texts ...string) func(string) string {
	t.Helper()
	free := make(map[string]string)
	port := firstPort + rand.IntN(lastPort-firstPort) // other tests that search for free ports may run at the same time
	for _, text := range texts {
		for _, address := range exampleAddress.FindAllString(text, -1) {
			for free[address] == "" {
				candidate := fmt.Sprintf("127.0.0.1:%d", port)
				if listener, err := net.Listen("tcp", candidate); err == nil {
					_ = listener.Close()
					free[address] = candidate
				}
				if port++; port > lastPort {
					port = firstPort
				}
			}
		}
	}
	return func(text string) string {
		return exampleAddress.ReplaceAllStringFunc(text, func(address string) string { return free[address] })
	}
}

// readExamples returns the example files of a deployment by file name.
func readExamples(t *testing.T, deployment string) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(examplesFolder, deployment, "*"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples of %s: %v", deployment, err)
	}
	contents := make(map[string]string)
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		contents[filepath.Base(path)] = string(content)
	}
	return contents
}

// runPage runs the console blocks of a page with real processes, which are started with a deployment's example
// settings.
func runPage(t *testing.T, page, deployment string) {
	content, err := os.ReadFile(filepath.Join(docsFolder, "operations", page))
	if err != nil {
		t.Fatal(err)
	}
	examples := readExamples(t, deployment)
	texts := []string{string(content)}
	for _, text := range examples {
		texts = append(texts, text)
	}
	rewrite := freeAddresses(t, texts...)
	steps := readSteps(rewrite(string(content)))
	if len(steps) == 0 {
		t.Fatalf("%s has no console blocks", page)
	}
	path := filepath.Join(t.TempDir(), strings.TrimSuffix(page, ".md")+".txt")
	if err := os.WriteFile(path, []byte(buildScript(steps)), 0o600); err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Files: []string{path},
		Cmds:  map[string]func(*testscript.TestScript, bool, []string){"shows": compareOutput},
		Setup: func(env *testscript.Env) error {
			env.Setenv("XDG_STATE_HOME", filepath.Join(env.WorkDir, "state"))
			folder := filepath.Join(env.WorkDir, "examples", deployment)
			if err := os.MkdirAll(folder, 0o700); err != nil {
				return err
			}
			for name, text := range examples {
				if err := os.WriteFile(filepath.Join(folder, name), []byte(rewrite(text)), 0o600); err != nil {
					return err
				}
			}
			return nil
		},
	})
}

// The commands on the page must work and print what the page shows.
func TestGettingStartedPageDiffersFromTheProgram(t *testing.T) {
	if testing.Short() {
		t.Skip("starts a dozen processes")
	}
	runPage(t, "getting-started.md", "vltava")
}

// The upgrade on the page must work and print what the page shows.
func TestUpgradesPageDiffersFromTheProgram(t *testing.T) {
	if testing.Short() {
		t.Skip("restarts every process of a deployment")
	}
	runPage(t, "upgrades.md", "vltava")
}
