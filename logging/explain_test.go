package logging_test

import (
	"strings"
	"testing"

	"github.com/daisylb/daisylb/logging"
)

func TestExplainOrdersTheLinesOfARequestAndCountsBadOnes(t *testing.T) {
	a := `  1.2 edge-1 {"level":"info","ts":2000.5,"msg":"forwarded","instance":"b/2","request":"r1","queued":3}
{"level":"info","ts":1000,"msg":"other","instance":"b/2","request":"r2"}
{"level":"in`
	b := `{"level":"warn","ts":1500,"msg":"refused","instance":"a/1","request":"r1"}

no json`
	story, err := logging.Explain("r1", strings.NewReader(a), strings.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := story.Write(&out); err != nil {
		t.Fatal(err)
	}
	want := `    +0.000s  a/1                      warn  refused  request=r1
    +0.500s  b/2                      info  forwarded  queued=3  request=r1
2 lines, 2 that could not be read
`
	if out.String() != want {
		t.Errorf("got\n%s", out.String())
	}
}
