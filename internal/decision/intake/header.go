package intake

// HeaderMeter counts a request line and header section while it arrives. It counts bytes as the limit of the configuration does,
// without spaces, line ends and the colons after names. The zero value is at the start of a section.
type HeaderMeter struct {
	// Bytes is the number of bytes that count, and RawBytes that of all bytes.
	Bytes, RawBytes int
	// Lines is the number of complete lines.
	Lines int
	// Ended means that the empty line at the end was read. Further bytes belong to the body or to the next request.
	Ended bool
	part  headerPart
	// lineBytes is the number of bytes of the current line without its end.
	lineBytes int
}

// headerPart is a part of a header line.
type headerPart uint8

const (
	partName headerPart = iota
	// partSeparator is the space between the colon and the value.
	partSeparator
	partValue
)

// Count adds bytes of the section.
func (m *HeaderMeter) Count(p []byte) {
	for i := 0; i < len(p) && !m.Ended; i++ {
		m.RawBytes++
		m.count(p[i])
	}
}

func (m *HeaderMeter) count(b byte) {
	switch {
	case b == '\n':
		m.endLine()
		return
	case b == '\r':
		return
	case m.part == partName && b == ':':
		m.part = partSeparator
	case m.part == partSeparator && (b == ' ' || b == '\t'):
	default:
		if m.part == partSeparator {
			m.part = partValue
		}
		m.Bytes++
	}
	m.lineBytes++
}

func (m *HeaderMeter) endLine() {
	if m.lineBytes == 0 {
		m.Ended = true
		return
	}
	m.Lines++
	m.lineBytes, m.part = 0, partName
}

// Costs of a header section in memory.
const (
	// headerByteCost is the cost of a byte: the line that is read, and the strings of the name and the value.
	headerByteCost = 2
	// headerLineCost is the cost of a field in bytes: its part of the map, of its copy for the servers and the slice of its value.
	headerLineCost = 200
)

// Cost returns the memory, in bytes, that the section takes once it is parsed.
func (m *HeaderMeter) Cost() int64 {
	return headerByteCost*int64(m.RawBytes) + headerLineCost*int64(m.Lines)
}

// Exceeds reports whether the section exceeds a limit on the bytes that count, of which each field has at least one. slack is what a
// section may have in addition because it is read ahead and checked exactly later.
func (m *HeaderMeter) Exceeds(maxBytes, slack int) bool {
	return m.Bytes > maxBytes+slack || m.Lines > maxBytes+slack
}
