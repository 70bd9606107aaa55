package load

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/daisylb/daisylb/code"
)

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteFiles writes the JSON report and the plots into dir, which it creates if
// needed. It replaces earlier files of the same experiment.
func (r *Report) WriteFiles(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return code.Wrap(code.InvalidSettings, err, "%s cannot be made", dir)
	}
	for _, f := range []struct {
		suffix string
		write  func(io.Writer) error
	}{
		{".json", r.WriteJSON},
		{"-latency.svg", r.WriteLatencies},
		{"-time.svg", r.WriteTimeline},
	} {
		path := filepath.Join(dir, r.Name+f.suffix)
		if err := writeFile(path, f.write); err != nil {
			return code.Wrap(code.InvalidSettings, err, "%s cannot be written", path)
		}
	}
	return nil
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
