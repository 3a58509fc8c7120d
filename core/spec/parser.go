package spec

import (
	"bytes"
	"strings"
)

// tableHeaders are the lines at which a text is split into blocks.
var tableHeaders = map[string]bool{"[[service]]": true, "[[route]]": true, "[[workspace]]": true, "[limits]": true}

// Parser parses successive versions of a text and decodes only the tables that were
// not in the version before. It is not safe for concurrent use.
type Parser struct {
	blocks   map[string]*rawText // by source, of the last text
	onDecode func(bytes int)
}

// ParserOption configures a Parser.
type ParserOption func(*Parser)

// WithDecodeHook sets a function that is told how many bytes are decoded.
func WithDecodeHook(hook func(bytes int)) ParserOption { return func(p *Parser) { p.onDecode = hook } }

// NewParser returns a parser that has not parsed anything.
func NewParser(opts ...ParserOption) *Parser {
	p := &Parser{onDecode: func(int) {}}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Parse returns the same results as the function Parse.
func (p *Parser) Parse(text []byte) (*Text, error) {
	raw, ok := p.decode(text)
	if !ok {
		p.blocks = nil
		p.onDecode(len(text))
		return Parse(text)
	}
	return check(text, raw)
}

// decode decodes the text block by block. It reports false if the result may differ
// from that of decoding the text as a whole.
func (p *Parser) decode(text []byte) (*rawText, bool) {
	if len(text) > MaxTextBytes || bytes.Contains(text, []byte(`"""`)) || bytes.Contains(text, []byte(`'''`)) {
		return nil, false // a multi-line string may contain a line that looks like a header
	}
	raw := &rawText{}
	blocks := make(map[string]*rawText, len(p.blocks))
	for source := range splitBlocks(string(text)) {
		block := p.blocks[source]
		if block == nil {
			block = blocks[source]
		}
		if block == nil {
			p.onDecode(len(source))
			var err error
			if block, err = decode([]byte(source)); err != nil {
				return nil, false
			}
		}
		if !block.hasOnlyTable(source) || block.Limits != nil && raw.Limits != nil {
			return nil, false
		}
		blocks[source] = block
		raw.add(block)
	}
	p.blocks = blocks
	return raw, true
}

// splitBlocks yields the parts of a text: what precedes the first header, and each
// header with what follows it.
func splitBlocks(text string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		start := 0
		for at := 0; at < len(text); {
			end := len(text)
			if newline := strings.IndexByte(text[at:], '\n'); newline >= 0 {
				end = at + newline + 1
			}
			if at > start && text[at] == '[' && tableHeaders[strings.TrimRight(text[at:end], " \t\r\n")] {
				if !yield(text[start:at]) {
					return
				}
				start = at
			}
			at = end
		}
		yield(text[start:])
	}
}

// hasOnlyTable reports whether a block holds the one table that its header begins, or
// none if it has no header.
func (r *rawText) hasOnlyTable(source string) bool {
	header, _, _ := strings.Cut(source, "\n")
	want := [4]int{}
	switch strings.TrimRight(header, " \t\r") {
	case "[[service]]":
		want[0] = 1
	case "[[route]]":
		want[1] = 1
	case "[[workspace]]":
		want[2] = 1
	case "[limits]":
		want[3] = 1
	default:
		return hasOnlyComments(source)
	}
	limits := 0
	if r.Limits != nil {
		limits = 1
	}
	return want == [4]int{len(r.Service), len(r.Route), len(r.Workspace), limits}
}

func hasOnlyComments(source string) bool {
	for line := range strings.Lines(source) {
		if line = strings.TrimSpace(line); line != "" && line[0] != '#' {
			return false
		}
	}
	return true
}

func (r *rawText) add(block *rawText) {
	r.Service = append(r.Service, block.Service...)
	r.Route = append(r.Route, block.Route...)
	r.Workspace = append(r.Workspace, block.Workspace...)
	if block.Limits != nil {
		r.Limits = block.Limits
	}
}
