package spec

import (
	"bytes"
	"strings"
)

// tableCounts holds the numbers of top-level tables in a text.
type tableCounts struct{ services, routes, workspaces, limits int }

// tableHeaders are the lines at which a text is split into blocks, with the tables of
// such a block.
var tableHeaders = map[string]tableCounts{
	"[[service]]":   {services: 1},
	"[[route]]":     {routes: 1},
	"[[workspace]]": {workspaces: 1},
	"[limits]":      {limits: 1},
}

// headerTables returns the tables of the block that a line begins, and false if the
// line is no header.
func headerTables(line string) (tableCounts, bool) {
	if line == "" || line[0] != '[' {
		return tableCounts{}, false
	}
	counts, ok := tableHeaders[strings.TrimRight(line, " \t\r\n")]
	return counts, ok
}

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
			if _, ok := headerTables(text[at:end]); ok && at > start {
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
	want, ok := headerTables(header)
	if !ok {
		return hasOnlyComments(source)
	}
	got := tableCounts{services: len(r.Service), routes: len(r.Route), workspaces: len(r.Workspace)}
	if r.Limits != nil {
		got.limits = 1
	}
	return got == want
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
