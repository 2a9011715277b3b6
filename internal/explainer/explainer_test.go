package explainer_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/explainer"
)

const ownerLog = `  1.2 north-1 {"time":"2026-12-04T10:00:00.1Z","level":"INFO","msg":"accepted","job":"aa","queue":"q","tasks":2}
not JSON at all
{"time":"2026-12-04T10:00:00.2Z","level":"INFO","msg":"accepted","job":"bb","queue":"q","tasks":2}
{"time":"2026-12-04T10:00:01.4Z","level":"INFO","msg":"placed","job":"aa","step":0,"waited-ms":1300,"worker":"w1"}
{"time":"2026-12-04T10:00:01.5Z","level":"INFO","msg":"started","task":"aa.0.0.0","run":1,"worker":"w1"}
{"time":"2026-12-04T10:00:00.3Z","level":"INFO","msg":"accepted","job":"ff","queue":"q","tasks":2,"team":"desk","beyond-share":true,"processors-ahead":12.5}
{"time":"2026-12-04T10:00:01.55Z","level":"INFO","msg":"run slowed by neighbours","task":"bb.0.0.0","run":1,"worker":"w1","kind":"render","slowdown":1.6}
{"time":"2026-12-04T10:00:01.6Z","level":"INFO","msg":"refused","job":"cc","queue":"q","reason":"the store does not answer","retry-after-ms":900}
{"time":"2026-12-04T10:00:01.7Z","level":"INFO","msg":"denied","job":"ee","queue":"q","cause":"unknown-key","version":7}
{"time":"2026-12-04T10:00:01.8Z","level":"INFO","msg":"denied","job":"aa","queue":"q","cause":"other-team","version":7}
{"time":"2026-12-04T10:00:01.6Z","level":"INFO","msg":"refused","job":"ii","queue":"q","reason":"the store is slow","retry-after-ms":1400,"forecast-ms":3120}
{"time":"2026-12-04T10:00:00.4Z","level":"INFO","msg":"accepted","job":"gg","queue":"q","tasks":80}
{"time":"2026-12-04T10:00:01.9Z","level":"INFO","msg":"gang waits","job":"gg","step":1,"reason":"room reserved for other steps","waited-ms":1500}`

const successorLog = `{"time":"2026-12-04T10:00:03Z","level":"INFO","msg":"cell taken over","cell":"desk","fence":2}
{"time":"2026-12-04T10:00:04Z","level":"INFO","msg":"ended","task":"aa.0.0.0","run":1,"worker":"w1","how":"lost"}
{"time":"2026-12-04T10:00:08Z","level":"INFO","msg":"final","job":"aa","queue":"q","state":"completed","reason":"","age-ms":7900}`

func TestSummary(t *testing.T) {
	for id, want := range map[string]string{
		"aa": "completed 7.9 s after it was accepted; 1 runs did not complete, the first aa.0.0.0 on w1: lost; a step waited 1.3 s for advice and free capacity; the owner of the cell changed in the meantime",
		"bb": "no final state in these logs; the last line is run slowed by neighbours; 1 runs were slowed down by neighbours",
		"ff": "no final state in these logs; the last line is accepted; it was beyond the share of team desk, and work for 12.5 processors went before it",
		"gg": "no final state in these logs; the last line is gang waits; step 1 has waited 1.5 s to start whole: room reserved for other steps",
		"cc": "refused: the store does not answer",
		"ee": "denied by version 7 of the configuration: the configuration knows no such key, or no longer",
		"ii": "refused: the store is slow; it would have been written after 3.1 s, later than its caller waited, and was asked to return after 1.4 s",
	} {
		history, err := explainer.Read(id, strings.NewReader(successorLog), strings.NewReader(ownerLog))
		if err != nil {
			t.Fatal(err)
		}
		if history.Summary != want {
			t.Errorf("%s: %s\nwant %s", id, history.Summary, want)
		}
		var text bytes.Buffer
		if err := history.Write(&text); err != nil || !strings.Contains(text.String(), want) {
			t.Errorf("%s: %v\n%s", id, err, text.String())
		}
	}
	var unknown *explainer.UnknownRequestError
	if _, err := explainer.Read("dd", strings.NewReader(ownerLog)); !errors.As(err, &unknown) {
		t.Errorf("an unknown request: %v", err)
	}
}

func TestEventsAreOrderedByTimeAcrossLogs(t *testing.T) {
	history, err := explainer.Read("aa", strings.NewReader(successorLog), strings.NewReader(ownerLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, event := range history.Events {
		got = append(got, event.Message)
	}
	if strings.Join(got, ", ") != "accepted, placed, started, denied, cell taken over, ended, final" {
		t.Errorf("the events are %s", got)
	}
}
