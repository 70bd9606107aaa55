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
		t.Errorf("one seed gave two jobs: %s", diff)
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
	// Wrong are the answer of another item and an item that was never sent.
	if got := [3]int{j.record.verified, j.record.wrong, j.record.duplicates}; got != [3]int{4, 2, 1} {
		t.Errorf("verified, wrong, duplicates: %v", got)
	}
}

func TestBatchRateIsOfTheWindow(t *testing.T) {
	m := &BatchMix{Name: "j"}
	sum := newBatchRecord(m)
	for _, finished := range []int{100, 300} {
		sum.merge(&batchRecord{mix: m, finished: finished, window: 10 * time.Second, tokens: 32})
	}
	if got := sum.value(ItemsPerSecond, 0); got != 20 {
		t.Errorf("%v committed items a second", got)
	}
	if got := sum.value(TokensPerSec, 25); got != 800 {
		t.Errorf("%v tokens a second", got)
	}
}
