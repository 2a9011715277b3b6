package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"dotterelpost": main})
}

// TestScripts drives the real program. Each script gets the files of testdata/cell and these
// commands beside the usual ones:
//
//	spawn NAME ARG…       starts dotterelpost and waits until it listens; its addresses are then in
//	                      $NAME_callers and so on, and its log is in NAME.log
//	signal NAME SIGNAL      sends a signal; expect NAME CODE waits for the exit code
//	render FILE…          replaces variables in files
//	eventually ARG…       repeats dotterelpost with the arguments until it exits with 0
//	until FILE TEXT       waits until a log holds a text
//	fault JSON            sets the stand-in's faults
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"spawn":      spawn,
			"signal":     signal,
			"expect":     expect,
			"render":     render,
			"eventually": eventually,
			"fault":      fault,
			"until":      until,
		},
	})
}

// child is a process that a script started.
type child struct {
	command *exec.Cmd
	ended   chan error
}

// children are the processes of one script.
type children struct {
	mu     sync.Mutex
	byName map[string]*child
}

type childrenKey struct{}

func setUp(env *testscript.Env) error {
	all := &children{byName: make(map[string]*child)}
	env.Values[childrenKey{}] = all
	env.Defer(all.killAll)
	files, err := filepath.Glob("testdata/cell/*")
	if err != nil {
		return err
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(env.WorkDir, filepath.Base(name)), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *children) killAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, one := range c.byName {
		_ = one.command.Process.Kill()
		<-one.ended
	}
}

func childNamed(ts *testscript.TestScript, name string) *child {
	all := ts.Value(childrenKey{}).(*children)
	all.mu.Lock()
	defer all.mu.Unlock()
	if all.byName[name] == nil {
		ts.Fatalf("no process %s", name)
	}
	return all.byName[name]
}

func program(ts *testscript.TestScript, args []string) *exec.Cmd {
	path := ""
	for _, dir := range filepath.SplitList(ts.Getenv("PATH")) {
		if candidate := filepath.Join(dir, "dotterelpost"); path == "" && fileExists(candidate) {
			path = candidate
		}
	}
	command := exec.Command(path, args...)
	command.Dir = ts.Getenv("WORK")
	command.Env = append(os.Environ(),
		"DOTTERELPOST_OPERATORS="+ts.Getenv("DOTTERELPOST_OPERATORS"),
		"DOTTERELPOST_OPERATOR_TOKEN_FILE="+ts.Getenv("DOTTERELPOST_OPERATOR_TOKEN_FILE"),
		"DOTTERELPOST_CALLERS="+ts.Getenv("DOTTERELPOST_CALLERS"),
		"DOTTERELPOST_CALLER_TOKEN_FILE="+ts.Getenv("DOTTERELPOST_CALLER_TOKEN_FILE"),
	)
	return command
}

func fileExists(name string) bool {
	_, err := os.Stat(name)
	return err == nil
}

func spawn(ts *testscript.TestScript, _ bool, args []string) {
	name := args[0]
	command := program(ts, args[1:])
	stderr, err := command.StderrPipe()
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	ts.Check(command.Start())
	one := &child{command: command, ended: make(chan error, 1)}
	all := ts.Value(childrenKey{}).(*children)
	all.mu.Lock()
	all.byName[name] = one
	all.mu.Unlock()
	listening := make(chan map[string]any, 1)
	go func() {
		defer log.Close()
		lines := bufio.NewScanner(stderr)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			_, _ = log.Write(append(lines.Bytes(), '\n'))
			var event map[string]any
			if json.Unmarshal(lines.Bytes(), &event) == nil && event["msg"] == "listening" {
				listening <- event
			}
		}
		close(listening)
		one.ended <- command.Wait()
		close(one.ended)
	}()
	event, open := <-listening
	if !open {
		ts.Fatalf("%s ended before it listened: %s", name, ts.ReadFile(name+".log"))
	}
	prefix := strings.ReplaceAll(name, "-", "_")
	for _, use := range []string{"callers", "operators", "mesh", "platform"} {
		if address, found := event[use].(string); found {
			ts.Setenv(prefix+"_"+use, address)
		}
	}
}

func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	ts.Check(childNamed(ts, args[0]).command.Process.Signal(signals[args[1]]))
}

// patience is how long a script waits for what has to come. It bounds a hanging test and asserts
// nothing about time.
const patience = 60 * time.Second

func expect(ts *testscript.TestScript, _ bool, args []string) {
	one := childNamed(ts, args[0])
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	select {
	case <-one.ended:
	case <-time.After(patience):
		ts.Fatalf("%s does not end", args[0])
	}
	if got := one.command.ProcessState.ExitCode(); got != want {
		ts.Fatalf("%s ended with code %d, want %d\n%s", args[0], got, want, ts.ReadFile(args[0]+".log"))
	}
}

func render(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

func eventually(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(patience)
	for {
		output, err := program(ts, args).CombinedOutput()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("dotterelpost %s does not succeed: %v\n%s", strings.Join(args, " "), err, output)
		}
	}
}

// until reads the log again and again; its process writes on meanwhile.
func until(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(patience)
	for !strings.Contains(ts.ReadFile(args[0]), args[1]) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s does not hold %q:\n%s", args[0], args[1], ts.ReadFile(args[0]))
		}
	}
}

func fault(ts *testscript.TestScript, _ bool, args []string) {
	reply, err := http.Post("http://"+ts.Getenv("platform_platform")+"/faults", "application/json", bytes.NewBufferString(args[0]))
	ts.Check(err)
	ts.Check(reply.Body.Close())
}
