package main

import (
	_ "embed"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

//go:embed instance.toml
var settingsFormat string

var (
	zones   = []string{"porto-a", "coimbra-a", "faro-a"}
	regions = []string{"norte", "centro", "sul"}
)

// instance is one of the project's processes.
type instance struct {
	name, settings, front, readiness string
	program                          string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// freePorts returns addresses on loopback that were free a moment ago.
func freePorts(n int) ([]int, error) {
	var ports []int
	for port := 12000 + rand.IntN(19000); len(ports) < n && port < 32000; port++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, port)
	}
	if len(ports) < n {
		return nil, os.ErrNotExist
	}
	return ports, nil
}

func newInstance(program, folder string, index int, ports []int, storeAddress string) (*instance, error) {
	i := &instance{
		name: fmt.Sprintf("front-%d", index), program: program,
		front: fmt.Sprintf("127.0.0.1:%d", ports[2]), readiness: fmt.Sprintf("127.0.0.1:%d", ports[3]),
	}
	i.settings = filepath.Join(folder, i.name+".toml")
	text := fmt.Sprintf(settingsFormat, i.name, zones[index%3], regions[index%3], ports[0], ports[1], i.front, i.readiness, storeAddress)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return i, i.start()
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	log, err := os.OpenFile(strings.TrimSuffix(i.settings, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p := exec.Command(i.program, "attend")
	p.Env = []string{"DOTTERELPOST_NODE_FILE=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(i.settings), "LANG=C"}
	p.Stdout, p.Stderr = log, log
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.process, i.ended = p, ended
	go func() {
		_ = p.Wait()
		close(ended)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	// It fails only if the process has ended.
	_ = i.process.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	<-ended
}

func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.readiness + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
