// Package explainer tells the story of one request from the logs of all instances: what was decided
// about it, in the order of time, and what it came to.
//
// # Usage
//
//	story, err := explainer.Read(id, readers...)
//	story.Write(os.Stdout)
//
// Lines that are no JSON objects are passed over, and so is whatever stands before the object: logs
// are often collected with a prefix. What an instance did not get to write before it was killed is
// missing, and the story says where that may be.
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

// Event is a line about the request, or about the cell while the request was open.
type Event struct {
	Time    time.Time       `json:"time"`
	Message string          `json:"what"`
	Fields  json.RawMessage `json:"fields"`
}

// History is what the logs say of a request.
type History struct {
	ID     string  `json:"id"`
	Events []Event `json:"events"`
	// Summary is what the request came to and why, in a sentence.
	Summary string `json:"cause"`
	// Missing says what the logs do not show.
	Missing []string `json:"missing,omitempty"`
}

// fields are those that the story is made of.
type fields struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	State   string    `json:"state"`
	Reason  string    `json:"reason"`
	How     string    `json:"how"`
	Worker  string    `json:"worker"`
	Queue   string    `json:"queue"`
	Waited  int64     `json:"waited-ms"`
	Age     int64     `json:"age-ms"`
	Fence   int64     `json:"fence"`
}

// UnknownRequestError tells that no line is about the request.
type UnknownRequestError struct{ ID string }

func (e *UnknownRequestError) Error() string {
	return "no line is about " + e.ID + "; give the logs of all instances, it may have been served by any"
}

// mostLine bounds a line of a log.
const mostLine = 1 << 20

// Read returns the story of a request.
func Read(id string, logs ...io.Reader) (*History, error) {
	var own, cells []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), mostLine)
		for scanner.Scan() {
			parsed, found := parse(scanner.Bytes())
			switch {
			case !found:
			case parsed.Job == id || strings.HasPrefix(parsed.Task, id+"."):
				own = append(own, parsed)
			case strings.HasPrefix(parsed.Message, "cell "):
				cells = append(cells, parsed)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	if len(own) == 0 {
		return nil, &UnknownRequestError{ID: id}
	}
	return tell(id, own, cells), nil
}

type line struct {
	fields
	text json.RawMessage
}

func parse(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	text = bytes.TrimSpace(text[start:])
	parsed := line{text: bytes.Clone(text)}
	if err := json.Unmarshal(text, &parsed.fields); err != nil {
		return line{}, false
	}
	return parsed, true
}

func tell(id string, own, cells []line) *History {
	sort.SliceStable(own, func(i, j int) bool { return own[i].Time.Before(own[j].Time) })
	first, last := own[0].Time, own[len(own)-1].Time
	all := slices.Clone(own)
	for _, cell := range cells {
		if cell.Time.After(first) && cell.Time.Before(last) {
			all = append(all, cell)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Time.Before(all[j].Time) })
	story := &History{ID: id}
	for _, one := range all {
		story.Events = append(story.Events, Event{Time: one.Time, Message: one.Message, Fields: one.text})
	}
	story.conclude(own, len(all) > len(own))
	return story
}

// conclude names the cause: the last decision that is final, or else the last thing that is known.
func (s *History) conclude(own []line, ownerChanged bool) {
	var final, refused, accepted *line
	var waited int64
	lost := make([]string, 0)
	for i := range own {
		one := &own[i]
		switch one.Message {
		case "final":
			final = one
		case "refused", "malformed":
			refused = one
		case "accepted":
			accepted = one
		case "placed":
			waited = max(waited, one.Waited)
		case "ended":
			if one.How != "done" && one.How != "stopped" {
				lost = append(lost, fmt.Sprintf("%s on %s: %s", one.Task, one.Worker, one.How))
			}
		}
	}
	switch {
	case final != nil:
		s.Summary = fmt.Sprintf("%s %.1f s after it was accepted", final.State, float64(final.Age)/1000)
		if final.Reason != "" {
			s.Summary += ": " + final.Reason
		}
	case accepted == nil && refused != nil:
		s.Summary = "refused: " + refused.Reason
	default:
		s.Summary = "no final state in these logs; the last line is " + own[len(own)-1].Message
		s.Missing = append(s.Missing, "the final state")
	}
	if len(lost) > 0 {
		s.Summary += fmt.Sprintf("; %d runs did not end well, the first %s", len(lost), lost[0])
	}
	if waited >= noticeableWait.Milliseconds() {
		s.Summary += fmt.Sprintf("; a step waited %.1f s for advice and room", float64(waited)/1000)
	}
	if ownerChanged {
		s.Summary += "; the cell changed its owner meanwhile"
	}
	if final != nil && accepted == nil {
		s.Missing = append(s.Missing, "the acceptance: its instance's log was not given, or the instance was killed before it wrote it")
	}
}

// noticeableWait is from which wait on the story mentions it.
const noticeableWait = 500 * time.Millisecond

// Write writes the story as text.
func (s *History) Write(out io.Writer) error {
	start := s.Events[0].Time
	for _, event := range s.Events {
		if _, err := fmt.Fprintf(out, "%+9.3f s  %-16s %s\n", event.Time.Sub(start).Seconds(), event.Message, brief(event.Fields)); err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	for _, missing := range s.Missing {
		if _, err := fmt.Fprintf(out, "missing: %s\n", missing); err != nil {
			return errors.Wrap(err, "write story")
		}
	}
	if _, err := fmt.Fprintf(out, "%s: %s\n", s.ID, s.Summary); err != nil {
		return errors.Wrap(err, "write story")
	}
	return nil
}

// brief leaves out what every line has.
func brief(text json.RawMessage) string {
	var kept []string
	decoder := json.NewDecoder(bytes.NewReader(text))
	if _, err := decoder.Token(); err != nil {
		return string(text)
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
			kept = append(kept, fmt.Sprintf("%s=%s", name, bytes.Trim(value, `"`)))
		}
	}
	return strings.Join(kept, " ")
}
