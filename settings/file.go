package settings

import (
	"io"
	"os"

	"github.com/daisylb/daisylb/code"
)

// Limits for ReadFile.
const (
	// MaxFileBytes is the largest size of a file with the settings of one process.
	MaxFileBytes = 1 << 20
	// MaxDocumentBytes is the largest size of a file with a document for a whole
	// deployment.
	MaxDocumentBytes = 16 << 20
)

// ReadFile returns the contents of the file at path. It fails for a file of more
// than maxBytes and stops reading there, since path may name a device without an
// end, such as /dev/zero. Errors: code.InvalidSettings.
func ReadFile(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, code.Wrap(code.InvalidSettings, err, "%s cannot be read: %v", path, err)
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, code.Wrap(code.InvalidSettings, err, "%s cannot be read: %v", path, err)
	}
	if int64(len(data)) > maxBytes {
		return nil, code.New(code.InvalidSettings, "%s is over %d bytes", path, maxBytes)
	}
	return data, nil
}
