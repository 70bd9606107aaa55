package batch

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// FuzzPack checks for any input that every non-blank line becomes one stored item,
// in order, and that a valid line is stored unchanged.
func FuzzPack(f *testing.F) {
	f.Add([]byte(chatLines(2)))
	f.Add([]byte(plainLines("pickup", 2) + "\r\n\n nonsense \n{\"custom_id\":1}"))
	f.Add([]byte(strings.Repeat("x", 5000)))
	doc := testDocument()
	f.Fuzz(func(t *testing.T, input []byte) {
		var objects [][]byte
		u := &upload{doc: doc, account: account}
		const lineMax = 1000
		p := &packer{
			put: func(_ context.Context, _ int, body []byte) error {
				objects = append(objects, bytes.Clone(body))
				return nil
			},
			check: u.checkLine, maxLineBytes: lineMax, maxItems: len(input) + 1, onInvalid: FailItem,
		}
		packed, err := p.pack(context.Background(), bytes.NewReader(input))
		want := contentLines(input)
		if len(want) == 0 {
			if err == nil {
				t.Fatal("an empty input was accepted")
			}
			return
		}
		if err != nil || packed.items != len(want) {
			t.Fatalf("%d items, %v; want %d", packed.items, err, len(want))
		}
		entries, err := decodeManifest(objects[packed.objects-1][packed.manifestOffset:], packed.segments)
		if err != nil {
			t.Fatal(err)
		}
		checkEntries(t, entries, objects, want, u)
	})
}

// contentLines returns the lines that contain an item.
func contentLines(input []byte) [][]byte {
	var lines [][]byte
	for _, line := range bytes.Split(input, []byte{'\n'}) {
		if line = bytes.TrimSpace(line); len(line) > 0 {
			lines = append(lines, line)
		}
	}
	return lines
}

// checkEntries checks that the segments contain the wanted lines.
func checkEntries(t *testing.T, entries []manifestEntry, objects, want [][]byte, u *upload) {
	t.Helper()
	next := 0
	for _, e := range entries {
		if int(e.First) != next {
			t.Fatalf("segment begins with item %d, want %d", e.First, next)
		}
		body := objects[e.Object][e.Offset : e.Offset+e.Length]
		stored := bytes.Split(bytes.TrimSuffix(body, []byte{'\n'}), []byte{'\n'})
		if len(stored) != int(e.Items) {
			t.Fatalf("segment has %d lines, want %d", len(stored), e.Items)
		}
		for _, line := range stored {
			l, err := parseLine(line)
			if err != nil {
				t.Fatalf("stored line %q: %v", line, err)
			}
			if l.Invalid == "" && !bytes.Equal(line, want[next]) {
				t.Fatalf("item %d is stored as %q, want %q", next, line, want[next])
			}
			next++
		}
	}
	if next != len(want) {
		t.Fatalf("%d items stored, want %d", next, len(want))
	}
}
