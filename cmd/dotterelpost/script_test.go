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

// TestScripts runs scripts against the real program. Each script starts in a directory with the files
// of testdata/cell, and may use these commands in addition to those of testscript:
//
//	spawn NAME ARG…       starts dotterelpost and waits until it listens; sets $NAME_callers,
//	                      $NAME_operators, $NAME_mesh and $NAME_platform to its addresses, and
//	                      writes its log to NAME.log
//	signal NAME SIGNAL    sends a signal
//	expect NAME CODE      waits for the process to exit and checks its exit code
//	render FILE…          expands variables in files
//	eventually ARG…       runs dotterelpost repeatedly until it exits with code 0
//	until FILE TEXT       waits until a log file contains a text
//	fault JSON            sets the faults of the simulated platform
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

// child is a process started by a script.
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
	procs := &children{byName: make(map[string]*child)}
	env.Values[childrenKey{}] = procs
	env.Defer(procs.killAll)
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
	for _, proc := range c.byName {
		_ = proc.command.Process.Kill()
		<-proc.ended
	}
}

func childNamed(ts *testscript.TestScript, name string) *child {
	procs := ts.Value(childrenKey{}).(*children)
	procs.mu.Lock()
	defer procs.mu.Unlock()
	if procs.byName[name] == nil {
		ts.Fatalf("no process %s", name)
	}
	return procs.byName[name]
}

func newCommand(ts *testscript.TestScript, args []string) *exec.Cmd {
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
	command := newCommand(ts, args[1:])
	stderr, err := command.StderrPipe()
	ts.Check(err)
	log, err := os.Create(ts.MkAbs(name + ".log"))
	ts.Check(err)
	ts.Check(command.Start())
	proc := &child{command: command, ended: make(chan error, 1)}
	procs := ts.Value(childrenKey{}).(*children)
	procs.mu.Lock()
	procs.byName[name] = proc
	procs.mu.Unlock()
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
		proc.ended <- command.Wait()
		close(proc.ended)
	}()
	event, ok := <-listening
	if !ok {
		ts.Fatalf("process %s exited before it listened: %s", name, ts.ReadFile(name+".log"))
	}
	prefix := strings.ReplaceAll(name, "-", "_")
	for _, key := range []string{"callers", "operators", "mesh", "platform"} {
		if address, found := event[key].(string); found {
			ts.Setenv(prefix+"_"+key, address)
		}
	}
}

func signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}
	ts.Check(childNamed(ts, args[0]).command.Process.Signal(signals[args[1]]))
}

// scriptTimeout bounds each wait of a script, so that a hanging test fails. It is not a check of
// latency.
const scriptTimeout = 60 * time.Second

func expect(ts *testscript.TestScript, _ bool, args []string) {
	proc := childNamed(ts, args[0])
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	select {
	case <-proc.ended:
	case <-time.After(scriptTimeout):
		ts.Fatalf("process %s did not exit", args[0])
	}
	if got := proc.command.ProcessState.ExitCode(); got != want {
		ts.Fatalf("process %s exited with code %d, want %d\n%s", args[0], got, want, ts.ReadFile(args[0]+".log"))
	}
}

func render(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := os.Expand(ts.ReadFile(name), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

func eventually(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(scriptTimeout)
	for {
		output, err := newCommand(ts, args).CombinedOutput()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("dotterelpost %s did not succeed: %v\n%s", strings.Join(args, " "), err, output)
		}
	}
}

// until reads the log file repeatedly while its process appends to it.
func until(ts *testscript.TestScript, _ bool, args []string) {
	deadline := time.Now().Add(scriptTimeout)
	for !strings.Contains(ts.ReadFile(args[0]), args[1]) {
		if time.Now().After(deadline) {
			ts.Fatalf("%s does not contain %q:\n%s", args[0], args[1], ts.ReadFile(args[0]))
		}
	}
}

func fault(ts *testscript.TestScript, _ bool, args []string) {
	reply, err := http.Post("http://"+ts.Getenv("platform_platform")+"/faults", "application/json", bytes.NewBufferString(args[0]))
	ts.Check(err)
	ts.Check(reply.Body.Close())
}
