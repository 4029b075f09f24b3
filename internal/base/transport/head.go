package transport

// protocolLength is the length of the protocol's name and version at the start of a status line, in bytes.
const protocolLength = len("HTTP/1.1")

// head follows the bytes that are received in response to a request, up to the end of the header of the
// final response. It finds what net/http does not report of a header that it accepts. The zero value
// is before the first byte.
type head struct {
	// folded is set once a line of the header begins with a blank. net/http appends such a line to
	// the value of the field before.
	folded bool

	// lines is the number of complete lines; column is the number of bytes in the line after them.
	lines, column int
	// class is the first digit of the status; 0 before it.
	class byte
	// ended is set after the header of the final response.
	ended bool
}

// read follows the next bytes received.
func (h *head) read(b []byte) {
	for _, c := range b {
		if h.ended {
			return
		}
		h.next(c)
	}
}

func (h *head) next(c byte) {
	switch c {
	case '\r':
		return
	case '\n':
		h.endLine()
		return
	}
	blank := c == ' ' || c == '\t'
	switch {
	case h.lines > 0:
		h.folded = h.folded || h.column == 0 && blank
	case h.class == 0 && h.column >= protocolLength && !blank:
		h.class = c
	}
	h.column++
}

func (h *head) endLine() {
	switch {
	case h.lines == 0 || h.column > 0:
		h.lines++
		h.column = 0
	case h.class == '1':
		// The header of the final response follows.
		*h = head{}
	default:
		h.ended = true
	}
}
