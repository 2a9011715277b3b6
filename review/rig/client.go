package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// job is a job as clients send it.
type job struct {
	Spec        string    `json:"spec"`
	Steps       []jobStep `json:"steps"`
	RunCount    int       `json:"run_count,omitempty"`
	StartTimeMS int64     `json:"start_time_ms,omitempty"`
	IntervalMS  int64     `json:"interval_ms,omitempty"`
}

type jobStep struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemoryMB      int64  `json:"mem_mb"`
	EstimateMS    int64  `json:"estimate_ms"`
	After         []int  `json:"after,omitempty"`
	SavesProgress bool   `json:"saves_progress,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
}

// newJob returns a job whose spec tells the stand-in executors what its tasks do.
func newJob(spec taskSpec, counts ...int) job {
	j := job{}
	for i, count := range counts {
		step := jobStep{Count: count, CPU: spec.CPU[i], MemoryMB: 256, EstimateMS: spec.WorkMS[i], SavesProgress: spec.Saves, Requirements: spec.Label}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	// Encoding a struct of numbers and texts does not fail.
	text, _ := json.Marshal(spec)
	j.Spec = string(text)
	return j
}

func newID() string {
	random := make([]byte, 8)
	if _, err := rand.Read(random); err != nil {
		panic(err)
	}
	return hex.EncodeToString(random)
}

// reply is the reply to a call of a client; status is 0 if there was none.
type reply struct {
	status int
	text   string
}

func (r reply) state() string {
	var body struct {
		State string `json:"state"`
	}
	if r.status != http.StatusOK || json.Unmarshal([]byte(r.text), &body) != nil {
		return ""
	}
	return body.State
}

// client calls the system like a client behind the platform's balancer.
type client struct {
	record *record
	http   *http.Client
	quiet  bool
}

func newClient(rec *record) *client {
	return &client{record: rec, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

func (c *client) call(method, front string, r route, id string, body any, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return reply{}
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+r.prefix+id, content)
	if err != nil {
		return reply{}
	}
	request.Host = r.host
	request.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	sent := time.Now()
	answer := reply{}
	response, err := c.http.Do(request)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if readErr == nil {
			answer = reply{response.StatusCode, strings.TrimSpace(string(text))}
		}
	}
	if !c.quiet {
		c.record.line("client: %s %s%s at %s: %d %s (after %d ms)", method, r.prefix, id, front, answer.status, answer.text, time.Since(sent).Milliseconds())
	}
	return answer
}

// submit hands a job in, with retries at other daemons, until it is accepted or the time is over.
func (c *client) submit(fronts []string, r route, id string, j job, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(until); attempt++ {
		if answer := c.call(http.MethodPost, fronts[attempt%len(fronts)], r, id, j, 3*time.Second); answer.status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, with retries at other daemons, and returns the last answer.
func (c *client) state(fronts []string, r route, id string, limit time.Duration) reply {
	until := time.Now().Add(limit)
	var answer reply
	for attempt := 0; attempt == 0 || time.Now().Before(until); attempt++ {
		answer = c.call(http.MethodGet, fronts[attempt%len(fronts)], r, id, nil, 3*time.Second)
		if answer.status == http.StatusOK || answer.status == http.StatusGone || answer.status == http.StatusNotFound {
			return answer
		}
		time.Sleep(200 * time.Millisecond)
	}
	return answer
}
