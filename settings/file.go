package settings

import (
	"io"
	"os"

	"github.com/daisylb/daisylb/code"
)

// Bounds of files in bytes.
const (
	// MaxFileBytes bounds the settings of one process.
	MaxFileBytes = 1 << 20
	// MaxDocumentBytes bounds a document of a whole system.
	MaxDocumentBytes = 16 << 20
)

// ReadFile reads a file of at most a number of bytes. A path may name something
// that never ends. Errors: code.InvalidSettings.
func ReadFile(path string, most int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, code.Wrap(code.InvalidSettings, err, "%s cannot be read: %v", path, err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, most+1))
	if err != nil {
		return nil, code.Wrap(code.InvalidSettings, err, "%s cannot be read: %v", path, err)
	}
	if int64(len(data)) > most {
		return nil, code.New(code.InvalidSettings, "%s is over %d bytes", path, most)
	}
	return data, nil
}
