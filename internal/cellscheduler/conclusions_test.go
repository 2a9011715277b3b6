package cellscheduler_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dotterelpost.example/dotterelpost/internal/steptracker"
	"dotterelpost.example/dotterelpost/internal/workerdriver"
)

// logLine is a log line about a run.
type logLine struct {
	Message     string `json:"msg"`
	Run         int    `json:"run"`
	Worker      string `json:"worker"`
	By          string `json:"by"`
	State       string `json:"state"`
	Sequence    int64  `json:"sequence"`
	ListAgeMS   int64  `json:"list-age-ms"`
	Way         string `json:"way"`
	Copies      int    `json:"copies"`
	Fence       int64  `json:"fence"`
	Born        int64  `json:"born"`
	Status      int    `json:"status"`
	EndedMSAgo  int64  `json:"ended-ms-ago"`
	CurrentRun  int    `json:"current-run"`
	Unconfirmed int    `json:"unconfirmed"`
}

// recordLog makes the environment record the lines of its schedulers.
func (env *testEnv) recordLog() *bytes.Buffer {
	var log bytes.Buffer
	env.log = slog.New(slog.NewJSONHandler(&log, nil))
	return &log
}

// linesOf returns the lines with a message.
func linesOf(t *testing.T, log *bytes.Buffer, message string) []logLine {
	t.Helper()
	var lines []logLine
	for text := range strings.Lines(log.String()) {
		var line logLine
		if err := json.Unmarshal([]byte(text), &line); err != nil && line.Message == message {
			t.Fatalf("%s: %v", text, err)
		}
		if line.Message == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// TestEndNamesItsEvidence ends the first run of a task in each way and checks what the line "ended" names.
func TestEndNamesItsEvidence(t *testing.T) {
	for name, test := range map[string]struct {
		by, state string
		listed    bool
		// before is called before the job is submitted, during while its run is on w0. newOwner replaces the owner.
		before, during func(env *testEnv, w *fakeWorker)
		newOwner       bool
	}{
		"listed": {by: "listed-end", state: "started", listed: true},
		"worker restarts": {by: "absent-from-list", state: "unconfirmed", listed: true, during: func(env *testEnv, w *fakeWorker) {
			env.keepIDs = true
			w.crash()
		}},
		"worker replaced": {by: "worker-replaced", state: "started", during: func(_ *testEnv, w *fakeWorker) { w.replaced = true }},
		"worker silent":   {by: "lease-over", state: "started", during: func(_ *testEnv, w *fakeWorker) { w.unreachable = true }},
		"start refused":   {by: "start-refused", state: "sending", before: func(_ *testEnv, w *fakeWorker) { w.refusedRuns[firstTask] = 1 }},
		"start not sent":  {by: "never-sent", state: "sending", before: func(_ *testEnv, w *fakeWorker) { w.crashed = true }},
		"start in doubt": {by: "listed-end", state: "started", listed: true, before: func(_ *testEnv, w *fakeWorker) {
			w.loseStartReplies = true
		}},
		"new owner": {by: "absent-from-list", state: "unconfirmed", listed: true, newOwner: true, during: func(_ *testEnv, w *fakeWorker) {
			delete(w.running, firstTask)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1)
				log := env.recordLog()
				env.outcome = func(*workerdriver.Start, string) (time.Duration, steptracker.EndReason) {
					return 2 * time.Second, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer func() { stop() }()
				sleep(100 * time.Millisecond)
				if test.before != nil {
					env.withLock(func() { test.before(env, env.workers["w0"]) })
				}
				submit(t, c, job("j", "plain", step(1, 1000)))
				sleep(time.Second)
				if test.newOwner {
					stop()
				}
				if test.during != nil {
					env.withLock(func() { test.during(env, env.workers["w0"]) })
				}
				token := int64(testTokens)
				if test.newOwner {
					_, stop = env.startScheduler(2)
					token = 2 * testTokens
				}
				sleep(4 * testLease)
				stop()
				ends := linesOf(t, log, "ended")
				if len(ends) == 0 {
					t.Fatal("no run has ended")
				}
				end := ends[0]
				if end.By != test.by || end.State != test.state || end.Run != 1 || end.Fence < token || end.Born == 0 {
					t.Errorf("got %+v, want by %s in state %s with token %d", end, test.by, test.state, token)
				}
				if hasNumber := end.Sequence > 0; hasNumber != (test.by == "listed-end") {
					t.Errorf("an end by %s has sequence number %d", end.By, end.Sequence)
				}
				if hasAge := end.ListAgeMS > 0; hasAge != test.listed {
					t.Errorf("an end by %s has a list that is %d ms old", end.By, end.ListAgeMS)
				}
				if taken := linesOf(t, log, "cell taken over"); test.newOwner && taken[len(taken)-1].Unconfirmed != 1 {
					t.Errorf("got %+v, want 1 unconfirmed run", taken)
				}
				if over := linesOf(t, log, "lease over"); test.by == "lease-over" && (len(over) == 0 || over[0].EndedMSAgo < 0 || over[0].Fence == 0) {
					t.Errorf("got %+v, want a lease that has ended", over)
				}
			})
		})
	}
}

// firstTask is the only task of job j.
var firstTask = steptracker.TaskKey{StepKey: steptracker.StepKey{Job: "j"}}

// TestDoneRunThatIsNotCurrentIsLogged: a worker lists an end that is not of the current run of its task, which is done
// while another task of the job is running.
func TestDoneRunThatIsNotCurrentIsLogged(t *testing.T) {
	for name, test := range map[string]struct {
		reason steptracker.EndReason
		run    int
		// completed lets the job complete before, newOwner lets another owner find the end in its first list.
		completed, newOwner bool
		want, current       int
	}{
		"done, another run":                       {reason: steptracker.Done, run: 7, want: 1, current: 1},
		"done, another run, new owner":            {reason: steptracker.Done, run: 7, newOwner: true, want: 1, current: 1},
		"done, another run, completed job":        {reason: steptracker.Done, run: 7, completed: true, want: 1},
		"failed, another run":                     {reason: steptracker.TaskFailed, run: 7},
		"done and recorded":                       {reason: steptracker.Done, run: 1},
		"done and recorded, new owner":            {reason: steptracker.Done, run: 1, newOwner: true},
		"done and recorded, completed, new owner": {reason: steptracker.Done, run: 1, completed: true, newOwner: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1)
				log := env.recordLog()
				env.outcome = func(start *workerdriver.Start, _ string) (time.Duration, steptracker.EndReason) {
					if start.Task.Index == 1 && !test.completed {
						return time.Minute, steptracker.Done
					}
					return time.Second, steptracker.Done
				}
				c, stop := env.startScheduler(1)
				defer func() { stop() }()
				sleep(100 * time.Millisecond)
				submit(t, c, job("j", "plain", step(2, 1000)))
				sleep(3 * time.Second)
				if test.newOwner {
					stop()
				}
				env.withLock(func() {
					w := env.workers["w0"]
					w.lastEnd++
					w.ended = append(w.ended, workerdriver.EndedTask{Sequence: w.lastEnd, Task: firstTask, Run: test.run, Reason: test.reason})
				})
				if test.newOwner {
					_, stop = env.startScheduler(2)
				}
				sleep(3 * time.Second)
				stop()
				lines := linesOf(t, log, "done run is not current")
				if len(lines) != test.want || test.want == 1 && (lines[0].Run != 7 || lines[0].CurrentRun != test.current || lines[0].Worker != "w0") {
					t.Errorf("got %+v, want %d lines", lines, test.want)
				}
				counted := 0
				if value := env.schedulerMetrics.Map().Get("done-runs-not-current"); value != nil {
					counted, _ = strconv.Atoi(value.String())
				}
				if counted != test.want {
					t.Errorf("%d counted, want %d", counted, test.want)
				}
				for _, start := range linesOf(t, log, "started") {
					if start.Way != "direct" || start.Copies != 1 || start.Fence != testTokens || start.Born != 1 {
						t.Errorf("got %+v, want a start of a copy sent directly with token %d", start, testTokens)
					}
				}
			})
		})
	}
}

// TestStartNamesItsCopies: a start order gets no answer and is repeated.
func TestStartNamesItsCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, 1)
		log := env.recordLog()
		lost := false
		env.unanswered = func(kind string) (time.Duration, bool) {
			first := kind == "start" && !lost
			lost = lost || first
			return 3 * time.Second, first
		}
		c, stop := env.startScheduler(1)
		defer stop()
		sleep(100 * time.Millisecond)
		submit(t, c, job("j", "plain", step(1, 1000)))
		sleep(3 * time.Second)
		stop()
		if started := linesOf(t, log, "started"); len(started) != 1 || started[0].Copies != 2 {
			t.Errorf("got %+v, want a start of 2 copies", started)
		}
	})
}

// TestClockOfAnEarlierIncarnationIsLogged: an answer of a worker's earlier incarnation, which names none, comes after
// the new incarnation is known. The reading was taken for that of the new one.
func TestClockOfAnEarlierIncarnationIsLogged(t *testing.T) {
	for name, back := range map[string]time.Duration{"of this incarnation": 0, "of an earlier incarnation": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newTestEnv(t, 1)
				log := env.recordLog()
				env.startClockAhead = back
				c, stop := env.startScheduler(1)
				defer stop()
				sleep(100 * time.Millisecond)
				submit(t, c, job("j", "plain", step(1, 1000)))
				sleep(3 * time.Second)
				stop()
				if lines := linesOf(t, log, "worker's clock went back"); (len(lines) == 1) != (back > 0) {
					t.Errorf("got %+v, want a line only after a reading of an earlier incarnation", lines)
				}
			})
		})
	}
}
