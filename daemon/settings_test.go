package daemon

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/daisylb/daisylb/code"
	"github.com/daisylb/daisylb/settings"
)

func TestExampleInstancesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*/*-[0-9].jsonc")
	if err != nil || len(files) != 20 {
		t.Fatalf("got %d example files, want 20: %v", len(files), err)
	}
	for _, file := range files {
		s, err := Load(file)
		if err != nil {
			t.Error(err)
		}
		if name := strings.TrimSuffix(filepath.Base(file), ".jsonc"); s.ID != name {
			t.Errorf("the settings in %s have id %q, want the name of the file", file, s.ID)
		}
	}
}

func TestAllFaultsOfSettingsAreReportedWithLines(t *testing.T) {
	_, err := Parse("one.jsonc", []byte(`{
	// no data centre
	"callers": {"address": "127.0.0.1:1"},
	"peers": {"address": "127.0.0.1:1"},
	"operators": {"address": "localhost"},
	"peer_keys": ["short"],
	"platform": {"url": "http://127.0.0.1:9", "timeout": "2h"},
	"log": {"level": "loud"},
	"retention": {"claims": "1h"},
	"lisen": 1,
}`))
	if code.Of(err) != code.InvalidSettings {
		t.Fatalf("got error %v, want number 5001", err)
	}
	var faults settings.Faults
	if !errors.As(err, &faults) {
		t.Fatalf("the error holds no list of faults: %v", err)
	}
	text := faults.Error()
	for _, want := range []string{"one.jsonc:4", "one.jsonc:5", "one.jsonc:6", "one.jsonc:7", "one.jsonc:8", "one.jsonc:9", "one.jsonc:10", "data_centre"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in the faults:\n%s", want, text)
		}
	}
}
