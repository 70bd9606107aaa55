package config

import (
	"fmt"
	"strings"
)

// maxSummaryNames bounds the names per section in a summary.
const maxSummaryNames = 5

// String returns a summary of the edits in one line, such as "preset peak;
// upstreams: set u1, u2, remove u3".
func (e Edits) String() string {
	var parts []string
	if e.Preset != "" {
		parts = append(parts, "preset "+e.Preset)
	}
	parts = appendSummary(parts, "presets", e.Presets)
	parts = appendSummary(parts, "data_centres", e.DataCentres)
	parts = appendSummary(parts, "services", e.Services)
	parts = appendSummary(parts, "upstreams", e.Upstreams)
	parts = appendSummary(parts, "accounts", e.Accounts)
	if e.Limits != nil {
		parts = append(parts, "limits")
	}
	return strings.Join(parts, "; ")
}

func appendSummary[T any](parts []string, section string, edits map[string]*T) []string {
	var set, removed []string
	for _, name := range sortedNames(edits) {
		if edits[name] == nil {
			removed = append(removed, name)
		} else {
			set = append(set, name)
		}
	}
	var words []string
	if len(set) > 0 {
		words = append(words, "set "+shortList(set))
	}
	if len(removed) > 0 {
		words = append(words, "remove "+shortList(removed))
	}
	if len(words) == 0 {
		return parts
	}
	return append(parts, section+": "+strings.Join(words, ", "))
}

func shortList(list []string) string {
	if len(list) <= maxSummaryNames {
		return strings.Join(list, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(list[:maxSummaryNames], ", "), len(list)-maxSummaryNames)
}
