package shard

// defaultMessageBytes limits the entries that one append message carries.
const defaultMessageBytes = 256 << 10

// entryOverhead is added to an entry's data when sizes are counted.
const entryOverhead = 48

// placedConfiguration is a configuration and the index of its entry.
type placedConfiguration struct {
	index         uint64
	configuration Configuration
}

// entryLog holds the entries after base. What base and all before it did is in
// the machine's state.
type entryLog struct {
	base           uint64
	basePosition   Position
	entries        []Entry
	configurations []placedConfiguration // ascending; the first is the one in force at base
	bytes          int
}

func newEntryLog(meta SnapshotMeta) entryLog {
	return entryLog{
		base:           meta.Index,
		basePosition:   meta.Position,
		configurations: []placedConfiguration{{meta.ConfigurationIndex, meta.Configuration}},
	}
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *entryLog) lastPosition() Position {
	position, _ := l.positionAt(l.last())
	return position
}

// positionAt returns the position of the entry at index, if it is known.
func (l *entryLog) positionAt(index uint64) (Position, bool) {
	if index == l.base {
		return l.basePosition, true
	}
	if index < l.base || index > l.last() {
		return Position{}, false
	}
	return l.entries[index-l.base-1].Position, true
}

func (l *entryLog) at(index uint64) Entry { return l.entries[index-l.base-1] }

// from returns entries starting at index, up to limit bytes but
// at least one.
func (l *entryLog) from(index uint64, limit int) []Entry {
	bytes := 0
	end := index
	for end <= l.last() && (bytes == 0 || bytes < limit) {
		bytes += l.at(end).size()
		end++
	}
	return append([]Entry(nil), l.entries[index-l.base-1:end-l.base-1]...)
}

func (e Entry) size() int { return len(e.Data) + entryOverhead }

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	l.bytes += entry.size()
	if entry.Kind == EntryConfiguration {
		l.configurations = append(l.configurations, placedConfiguration{l.last(), *entry.Configuration})
	}
}

// truncate drops all entries after index.
func (l *entryLog) truncate(index uint64) {
	for l.last() > index {
		l.bytes -= l.entries[len(l.entries)-1].size()
		l.entries = l.entries[:len(l.entries)-1]
	}
	for len(l.configurations) > 1 && l.configurations[len(l.configurations)-1].index > index {
		l.configurations = l.configurations[:len(l.configurations)-1]
	}
}

// compact drops the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base || index > l.last() {
		return
	}
	position, _ := l.positionAt(index)
	kept := append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.basePosition, l.entries = index, position, kept
	l.bytes = 0
	for _, entry := range kept {
		l.bytes += entry.size()
	}
	for len(l.configurations) > 1 && l.configurations[1].index <= index {
		l.configurations = l.configurations[1:]
	}
}

// configuration returns the newest configuration in the log, committed or not.
func (l *entryLog) configuration() placedConfiguration {
	return l.configurations[len(l.configurations)-1]
}

// configurationAt returns the configuration in force at index.
func (l *entryLog) configurationAt(index uint64) placedConfiguration {
	found := l.configurations[0]
	for _, placed := range l.configurations {
		if placed.index <= index {
			found = placed
		}
	}
	return found
}
