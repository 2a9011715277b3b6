// Package explainer reconstructs the history of one request from the logs of all instances: the
// decisions about it in chronological order, and its outcome.
//
// # Usage
//
//	history, err := explainer.Read(id, readers...)
//	err = history.Write(os.Stdout)
//
// Lines without a JSON object are ignored, and so is any text before the object, because log
// collectors often add a prefix. Events that an instance did not log before it was killed are
// missing; the history states which events may be missing.
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Event is a log line about the request, or a line about a cell from the time of the request.
type Event struct {
	Time    time.Time       `json:"time"`
	Message string          `json:"what"`
	Fields  json.RawMessage `json:"fields"`
}

// History is the history of a request. Events are ordered by time.
type History struct {
	ID     string  `json:"id"`
	Events []Event `json:"events"`
	// Summary states the outcome of the request and its cause in one sentence.
	Summary string `json:"cause"`
	// Missing lists the events that should be in the logs but are not.
	Missing []string `json:"missing,omitempty"`
}

// lineFields are the fields of a log line that the history uses.
type lineFields struct {
	quotaFields
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	Job       string    `json:"job"`
	Task      string    `json:"task"`
	State     string    `json:"state"`
	Reason    string    `json:"reason"`
	EndReason string    `json:"how"`
	Worker    string    `json:"worker"`
	Queue     string    `json:"queue"`
	WaitedMS  int64     `json:"waited-ms"`
	AgeMS     int64     `json:"age-ms"`
	Fence     int64     `json:"fence"`
	Cause     string    `json:"cause"`
	Version   int64     `json:"version"`
	// BeyondShare and ProcessorsAhead say of an accepted job that it was beyond the share of its team, and how
	// much work went before it.
	BeyondShare     bool    `json:"beyond-share"`
	ProcessorsAhead float64 `json:"processors-ahead"`
	// ForecastMS is after which time a refused job would have been written, RetryAfterMS when its caller was
	// told to return.
	ForecastMS   int64 `json:"forecast-ms"`
	RetryAfterMS int64 `json:"retry-after-ms"`
}

// UnknownRequestError reports that no log line is about the request.
type UnknownRequestError struct{ ID string }

func (e *UnknownRequestError) Error() string {
	return "no log line is about request " + e.ID + "; provide the logs of all instances, because any of them may have served it"
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read reads the logs and returns the history of a request. The error is an *UnknownRequestError if
// no line is about the request.
func Read(id string, logs ...io.Reader) (*History, error) {
	var requestLines, cellLines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
		for scanner.Scan() {
			parsed, found := parseLine(scanner.Bytes())
			switch {
			case !found:
			case parsed.Job == id || strings.HasPrefix(parsed.Task, id+"."):
				requestLines = append(requestLines, parsed)
			case strings.HasPrefix(parsed.Message, "cell "):
				cellLines = append(cellLines, parsed)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	if len(requestLines) == 0 {
		return nil, &UnknownRequestError{ID: id}
	}
	return buildHistory(id, requestLines, cellLines), nil
}

// line is a parsed log line; raw is its JSON object.
type line struct {
	lineFields
	raw json.RawMessage
}

// parseLine parses the JSON object that starts at the first brace. It returns false if there is none.
func parseLine(data []byte) (line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return line{}, false
	}
	data = bytes.TrimSpace(data[start:])
	parsed := line{raw: bytes.Clone(data)}
	if err := json.Unmarshal(data, &parsed.lineFields); err != nil {
		return line{}, false
	}
	return parsed, true
}

// buildHistory merges the lines about the request with the lines about cells that were logged between
// the first and the last of them.
func buildHistory(id string, requestLines, cellLines []line) *History {
	sort.SliceStable(requestLines, func(i, j int) bool { return requestLines[i].Time.Before(requestLines[j].Time) })
	first, last := requestLines[0].Time, requestLines[len(requestLines)-1].Time
	all := slices.Clone(requestLines)
	for _, cell := range cellLines {
		if cell.Time.After(first) && cell.Time.Before(last) {
			all = append(all, cell)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	history := &History{ID: id}
	for _, entry := range all {
		history.Events = append(history.Events, Event{Time: entry.Time, Message: entry.Message, Fields: entry.raw})
	}
	history.summarize(requestLines, len(all) > len(requestLines))
	return history
}

// summarize sets Summary and Missing. The summary states the final state of the request or its
// refusal, or else the last log line about it. ownerChanged reports whether log lines about cells,
// which record changes of owner, lie between the lines about the request.
func (h *History) summarize(requestLines []line, ownerChanged bool) {
	var final, refused, denied, accepted, gangWait *line
	var maxWaitMS int64
	slowedRuns := 0
	failedRuns := make([]string, 0)
	quota := newQuotaWait()
	for i := range requestLines {
		entry := &requestLines[i]
		switch entry.Message {
		case "final":
			final = entry
		case "refused", "malformed":
			refused = entry
		case "denied":
			denied = entry
		case "accepted":
			accepted = entry
		case heldMessage, releasedMessage:
			quota.add(entry)
		case "placed":
			maxWaitMS, gangWait = max(maxWaitMS, entry.WaitedMS), nil
		case "gang waits":
			gangWait = entry
		case "run slowed by neighbours":
			slowedRuns++
		case "ended":
			if entry.EndReason != "done" && entry.EndReason != "stopped" {
				failedRuns = append(failedRuns, fmt.Sprintf("%s on %s: %s", entry.Task, entry.Worker, entry.EndReason))
			}
		}
	}
	switch {
	case final != nil:
		h.Summary = fmt.Sprintf("%s %.1f s after it was accepted", final.State, float64(final.AgeMS)/1000)
		if final.Reason != "" {
			h.Summary += ": " + final.Reason
		}
	case accepted == nil && refused != nil:
		h.Summary = "refused: " + refused.Reason
		if refused.ForecastMS > 0 {
			h.Summary += fmt.Sprintf("; it would have been written after %.1f s, later than its caller waited, and was asked to return after %.1f s",
				float64(refused.ForecastMS)/1000, float64(refused.RetryAfterMS)/1000)
		}
	case accepted == nil && denied != nil:
		h.Summary = denied.denial()
	default:
		h.Summary = "no final state in these logs; the last line is " + requestLines[len(requestLines)-1].Message
		h.Missing = append(h.Missing, "the final state")
		if gangWait != nil {
			h.Summary += fmt.Sprintf("; step %d has waited %.1f s to start whole: %s", gangWait.Step, float64(gangWait.WaitedMS)/1000, gangWait.Reason)
		}
	}
	if len(failedRuns) > 0 {
		h.Summary += fmt.Sprintf("; %d runs did not complete, the first %s", len(failedRuns), failedRuns[0])
	}
	if maxWaitMS >= minReportedWait.Milliseconds() {
		h.Summary += fmt.Sprintf("; a step waited %.1f s for advice and free capacity", float64(maxWaitMS)/1000)
	}
	h.Summary += quota.summary(requestLines[len(requestLines)-1].Time)
	if slowedRuns > 0 {
		h.Summary += fmt.Sprintf("; %d runs were slowed down by neighbours", slowedRuns)
	}
	if accepted != nil && accepted.BeyondShare {
		h.Summary += fmt.Sprintf("; it was beyond the share of team %s, and work for %g processors went before it", accepted.Team, accepted.ProcessorsAhead)
	}
	if ownerChanged {
		h.Summary += "; the owner of the cell changed in the meantime"
	}
	if final != nil && accepted == nil {
		h.Missing = append(h.Missing, "the acceptance: the log of the accepting instance was not provided, or the instance was killed before it wrote the line")
	}
}

// denialReasons explains the causes of denied calls.
var denialReasons = map[string]string{
	"no-key":            "the queue needs a key and the call carried none",
	"unknown-key":       "the configuration knows no such key, or no longer",
	"other-team":        "the job belongs to another team",
	"configuration-age": "the instance could not tell for too long whether its configuration was the newest one",
}

// denial describes a denied call.
func (l *line) denial() string {
	reason, known := denialReasons[l.Cause]
	if !known {
		reason = l.Cause
	}
	return fmt.Sprintf("denied by version %d of the configuration: %s", l.Version, reason)
}

// minReportedWait is the shortest wait for placement that the summary mentions.
const minReportedWait = 500 * time.Millisecond

// Write writes the history as text.
func (h *History) Write(out io.Writer) error {
	start := h.Events[0].Time
	for _, event := range h.Events {
		if _, err := fmt.Fprintf(out, "%+9.3f s  %-16s %s\n", event.Time.Sub(start).Seconds(), event.Message, formatFields(event.Fields)); err != nil {
			return errors.Wrap(err, "write history")
		}
	}
	for _, missing := range h.Missing {
		if _, err := fmt.Fprintf(out, "missing: %s\n", missing); err != nil {
			return errors.Wrap(err, "write history")
		}
	}
	if _, err := fmt.Fprintf(out, "%s: %s\n", h.ID, h.Summary); err != nil {
		return errors.Wrap(err, "write history")
	}
	return nil
}

// formatFields formats the fields of a line as name=value, except for time, level and message, which
// every line has.
func formatFields(data json.RawMessage) string {
	var formatted []string
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return string(data)
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			break
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			break
		}
		if name != "time" && name != "level" && name != "msg" {
			formatted = append(formatted, fmt.Sprintf("%s=%s", name, bytes.Trim(value, `"`)))
		}
	}
	return strings.Join(formatted, " ")
}
