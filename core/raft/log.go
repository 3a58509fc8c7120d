package raft

// memLog is the part of the log after index offset, kept in memory.
type memLog struct {
	offset     uint64
	offsetTerm uint64
	entries    []Entry
}

func (l *memLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, if it is known.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// slice returns the entries after lo up to and including hi, at most limit
// bytes of them but at least one entry.
func (l *memLog) slice(lo, hi uint64, limit int) []Entry {
	hi = min(hi, l.lastIndex())
	if lo < l.offset || lo >= hi {
		return nil
	}
	all := l.entries[lo-l.offset : hi-l.offset]
	size := 0
	for i := range all {
		size += all[i].size()
		if size > limit && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// truncate drops the entries from index on. It leaves the slice without spare
// capacity, because slices returned in actions share its array.
func (l *memLog) truncate(index uint64) {
	keep := index - l.offset - 1
	l.entries = l.entries[:keep:keep]
}

func (l *memLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// firstKept returns the index of the first of the entries up to and including index
// that fit into a number of entries and bytes. If none fits, it is the next index.
func (l *memLog) firstKept(index, entries uint64, bytes int) uint64 {
	first, size := index+1, 0
	for first > l.offset+1 && index-first+1 < entries {
		size += l.entries[first-l.offset-2].size()
		if size > bytes {
			break
		}
		first--
	}
	return first
}

// compact drops the entries up to and including index.
func (l *memLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset, l.offsetTerm = index, term
}

// reset removes all entries and makes the log start after index.
func (l *memLog) reset(index, term uint64) {
	l.offset, l.offsetTerm, l.entries = index, term, nil
}

func (l *memLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.lastIndex()
}
