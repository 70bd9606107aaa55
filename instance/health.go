package instance

import "github.com/daisylb/daisylb/code"

// UnmarshalText reads the name that MarshalText writes.
func (h *Health) UnmarshalText(text []byte) error {
	for _, known := range []Health{Alive, Suspect, Dead} {
		if known.String() == string(text) {
			*h = known
			return nil
		}
	}
	return code.New(code.MalformedBody, "health %q is not known", text)
}
