package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// daemon is a process of the system under test.
type daemon struct {
	name, zone, front, readiness string
	file                         string
	logFile                      string
	process                      *exec.Cmd
	ended                        chan struct{}
}

// taken holds the ports that were handed out.
var taken = make(map[int]bool)

var errNoPort = errors.New("no free ports were found")

// freePorts returns the first of two free ports in a row. They lie below those that the system gives to
// outgoing connections.
func freePorts() (int, error) {
	const lowest, count = 12000, 9000
	for range 200 {
		port := lowest + 2*rand.IntN(count)
		if taken[port] {
			continue
		}
		first, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		second, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		_ = first.Close()
		if err == nil {
			_ = second.Close()
			taken[port] = true
			return port, nil
		}
	}
	return 0, errNoPort
}

const settingsText = `node = %q
role = "attendant"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = %q
internal_ports = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "request"
advice = %q
[zones]
porto-a = "norte"
coimbra-a = "centro"
faro-a = "sul"
[listen]
front = "127.0.0.1:%d"
readiness = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contact_ms = 4000
ack_ms = 5000
drain_ms = 3000
grace_s = 6
config_apply_ms = 3000
recovery_s = 12
max_hold_ms = 10000
stop_timeout_ms = 200
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
checkpoint_s = 0.5
restore_ms = 600
[platform]
address = %q
form = "table"
writes_per_s = 600
reads_per_s = 2000
txn_ms = 8.0
partition_writes_s = 150
row_bytes = 65536
cross_shard = false
history_s = 20
`

// startDaemon starts a process with the command of the deploy file and settings like those of a small
// deployment.
func startDaemon(folder, binary, name, zone, region, storeAddress, advice string) (*daemon, error) {
	mesh, err := freePorts()
	if err != nil {
		return nil, err
	}
	front, err := freePorts()
	if err != nil {
		return nil, err
	}
	d := &daemon{
		name: name, zone: zone, front: fmt.Sprintf("127.0.0.1:%d", front), readiness: fmt.Sprintf("127.0.0.1:%d", front+1),
		file: filepath.Join(folder, name+".toml"), logFile: filepath.Join(folder, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, zone, region, mesh, mesh+1, advice, front, front+1, storeAddress)
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return d, d.start(binary)
}

func (d *daemon) start(binary string) error {
	log, err := os.OpenFile(d.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	d.process = exec.Command(binary, "attend")
	d.process.Env = []string{"DOTTERELPOST_NODE_FILE=" + d.file, "PATH=" + os.Getenv("PATH")}
	d.process.Stdout, d.process.Stderr = log, log
	if err := d.process.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	process, ended := d.process, d.ended
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.process.Process.Signal(s) }

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGCONT)
	d.signal(syscall.SIGKILL)
	select {
	case <-d.ended:
	case <-time.After(5 * time.Second):
	}
}
