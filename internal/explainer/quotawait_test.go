package explainer_test

import (
	"strings"
	"testing"

	"dotterelpost.example/dotterelpost/internal/explainer"
)

const quotaLog = `{"time":"2026-12-04T11:00:00Z","level":"INFO","msg":"accepted","job":"waited","queue":"q","tasks":2}
{"time":"2026-12-04T11:00:00.1Z","level":"INFO","msg":"accepted","job":"waits","queue":"q","tasks":2}
{"time":"2026-12-04T11:00:00.2Z","level":"INFO","msg":"held by quota","job":"waits","occurrence":0,"step":0,"team":"surveys","limit":"processors"}
{"time":"2026-12-04T11:00:00.2Z","level":"INFO","msg":"held by quota","job":"waited","occurrence":0,"step":0,"team":"surveys","limit":"processors"}
{"time":"2026-12-04T11:00:00.4Z","level":"INFO","msg":"quota has room","job":"waited","occurrence":0,"step":0,"team":"surveys","limit":"processors","held-ms":200}
{"time":"2026-12-04T11:00:01Z","level":"INFO","msg":"held by quota","job":"waited","occurrence":0,"step":1,"team":"surveys","limit":"memory"}
{"time":"2026-12-04T11:00:02.8Z","level":"INFO","msg":"quota has room","job":"waited","occurrence":0,"step":1,"team":"surveys","limit":"memory","held-ms":1800}
{"time":"2026-12-04T11:00:04Z","level":"INFO","msg":"final","job":"waited","queue":"q","state":"completed","reason":"","age-ms":4000}`

func TestSummaryNamesTheQuota(t *testing.T) {
	for id, want := range map[string]string{
		"waited": "completed 4.0 s after it was accepted; step 1 was held for 1.8 s by the quota of team surveys (memory)",
		"waits":  "no final state in these logs; the last line is held by quota; step 0 is held by the quota of team surveys (processors)",
	} {
		history, err := explainer.Read(id, strings.NewReader(quotaLog))
		if err != nil {
			t.Fatal(err)
		}
		if history.Summary != want {
			t.Errorf("%s: %s\nwant %s", id, history.Summary, want)
		}
	}
}
