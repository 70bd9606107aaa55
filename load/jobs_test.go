package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/daisylb/daisylb/standin/engine"
)

// resultOf returns a result line with an answer.
func resultOf(id int, text string) string {
	content, err := json.Marshal(text)
	if err != nil {
		panic(err)
	}
	return fmt.Sprintf(`{"custom_id":"%d","response":{"status_code":200,"body":{"choices":[{"message":{"content":%s}}]}}}`+"\n", id, content)
}

func TestBatchResultsAreVerified(t *testing.T) {
	m := &BatchMix{Name: "j", Items: 4, PromptBytes: Length{Median: 9, Sigma: 1}, AnswerTokens: Length{Median: 5, Sigma: 1}}
	items := m.items(3, "job")
	if diff := cmp.Diff(items, m.items(3, "job"), cmp.AllowUnexported(jobItem{})); diff != "" {
		t.Errorf("the same seed gave different jobs: %s", diff)
	}
	right := func(i int) string { return engine.Answer(items[i].messages, items[i].tokens) }
	var results bytes.Buffer
	results.WriteString(resultOf(0, right(0)))
	results.WriteString(resultOf(1, right(0)))
	results.WriteString(resultOf(2, right(2)))
	results.WriteString(resultOf(2, right(2)))
	results.WriteString(`{"custom_id":"3","response":null,"error":{"number":6006}}` + "\n")
	results.WriteString(resultOf(9, right(0)))
	j := &jobRunner{record: newBatchRecord(m)}
	j.verify(&runningJob{items: items}, &results)
	// Two results are wrong: one has the answer of another item, one is of an
	// item that was never sent.
	if got := [3]int{j.record.verified, j.record.wrong, j.record.duplicates}; got != [3]int{4, 2, 1} {
		t.Errorf("verified, wrong, duplicates: %v, want [4 2 1]", got)
	}
}

func TestBatchRateCoversMeasuredWindow(t *testing.T) {
	m := &BatchMix{Name: "j"}
	sum := newBatchRecord(m)
	for _, finished := range []int{100, 300} {
		sum.merge(&batchRecord{mix: m, finished: finished, window: 10 * time.Second, meanTokens: 32})
	}
	if got := sum.value(ItemsPerSecond, 0); got != 20 {
		t.Errorf("%v committed items per second, want 20", got)
	}
	if got := sum.value(TokensPerSecond, 25); got != 800 {
		t.Errorf("%v tokens per second, want 800", got)
	}
}
