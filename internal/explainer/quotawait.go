package explainer

import (
	"fmt"
	"time"
)

// quotaFields are the fields of the lines about quotas.
type quotaFields struct {
	Occurrence int    `json:"occurrence"`
	Step       int    `json:"step"`
	Team       string `json:"team"`
	Limit      string `json:"limit"`
	HeldMS     int64  `json:"held-ms"`
}

// quotaWait finds the step of a request that the quota of a team held for the longest time.
type quotaWait struct {
	// held are the steps that are held, by occurrence and step.
	held map[[2]int]*line
	// longest is the line of the longest hold so far, which lasted for the duration.
	longest  *line
	duration time.Duration
}

func newQuotaWait() *quotaWait { return &quotaWait{held: make(map[[2]int]*line)} }

// add processes the line at which a hold begins or ends.
func (q *quotaWait) add(entry *line) {
	key := [2]int{entry.Occurrence, entry.Step}
	if entry.Message == heldMessage {
		q.held[key] = entry
		return
	}
	delete(q.held, key)
	q.consider(entry, time.Duration(entry.HeldMS)*time.Millisecond)
}

func (q *quotaWait) consider(entry *line, duration time.Duration) {
	if q.longest == nil || duration > q.duration {
		q.longest, q.duration = entry, duration
	}
}

// The messages of the lines at which a hold begins and ends.
const (
	heldMessage     = "held by quota"
	releasedMessage = "quota has room"
)

// summary describes the longest hold. Holds without an end lasted until the last line about the request.
func (q *quotaWait) summary(last time.Time) string {
	for _, entry := range q.held {
		q.consider(entry, last.Sub(entry.Time))
	}
	if q.longest == nil || q.longest.Message == releasedMessage && q.duration < minReportedWait {
		return ""
	}
	if q.longest.Message == heldMessage {
		return fmt.Sprintf("; step %d is held by the quota of team %s (%s)", q.longest.Step, q.longest.Team, q.longest.Limit)
	}
	return fmt.Sprintf("; step %d was held for %.1f s by the quota of team %s (%s)", q.longest.Step, q.duration.Seconds(), q.longest.Team, q.longest.Limit)
}
