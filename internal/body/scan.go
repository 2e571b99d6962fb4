package body

import "bytes"

// maxDepth bounds the nesting of a body, so that a hostile one cannot exhaust the stack.
const maxDepth = 64

// scanner checks JSON as it walks over it and never allocates.
type scanner struct {
	raw   []byte
	pos   int
	depth int
}

func (sc *scanner) fail(want string) error {
	if sc.pos >= len(sc.raw) {
		return Malformed.New("body: it ends where %s is due; send the whole JSON object", want)
	}
	return Malformed.New("body: byte %d is %q where %s is due; send a JSON object", sc.pos, sc.raw[sc.pos], want)
}

// openAt returns the offset behind the first opening brace.
func (sc *scanner) openAt() int {
	return bytes.IndexByte(sc.raw, '{') + 1
}

func (sc *scanner) space() {
	for sc.pos < len(sc.raw) {
		switch sc.raw[sc.pos] {
		case ' ', '\t', '\n', '\r':
			sc.pos++
		default:
			return
		}
	}
}

func (sc *scanner) peek() byte {
	sc.space()
	if sc.pos >= len(sc.raw) {
		return 0
	}
	return sc.raw[sc.pos]
}

func (sc *scanner) expect(want byte) error {
	if sc.peek() != want {
		return sc.fail(string(want))
	}
	sc.pos++
	return nil
}

// object walks over one object and calls visit with each of its members; visit may be nil.
func (sc *scanner) object(visit func(key []byte, value Span) error) error {
	if err := sc.expect('{'); err != nil {
		return err
	}
	if sc.peek() == '}' {
		sc.pos++
		return nil
	}
	for {
		if err := sc.member(visit); err != nil {
			return err
		}
		switch sc.peek() {
		case ',':
			sc.pos++
		case '}':
			sc.pos++
			return nil
		default:
			return sc.fail(", or }")
		}
	}
}

func (sc *scanner) member(visit func(key []byte, value Span) error) error {
	key, err := sc.value()
	if err != nil {
		return err
	}
	if sc.raw[key.Start] != '"' {
		sc.pos = key.Start
		return sc.fail("a quoted key")
	}
	if err := sc.expect(':'); err != nil {
		return err
	}
	value, err := sc.value()
	if err != nil || visit == nil {
		return err
	}
	return visit(sc.raw[key.Start+1:key.End-1], value)
}

func (sc *scanner) value() (Span, error) {
	first := sc.peek()
	span := Span{Start: sc.pos}
	err := sc.skip(first)
	span.End = sc.pos
	return span, err
}

func (sc *scanner) skip(first byte) error {
	switch first {
	case '"':
		return sc.str()
	case '{':
		return sc.nested(func() error { return sc.object(nil) })
	case '[':
		return sc.nested(sc.array)
	case 't':
		return sc.literal("true")
	case 'f':
		return sc.literal("false")
	case 'n':
		return sc.literal("null")
	default:
		return sc.number()
	}
}

func (sc *scanner) nested(walk func() error) error {
	if sc.depth == maxDepth {
		return Malformed.New("body: byte %d: nested deeper than %d levels; flatten it", sc.pos, maxDepth)
	}
	sc.depth++
	err := walk()
	sc.depth--
	return err
}

func (sc *scanner) array() error {
	sc.pos++
	if sc.peek() == ']' {
		sc.pos++
		return nil
	}
	for {
		if _, err := sc.value(); err != nil {
			return err
		}
		switch sc.peek() {
		case ',':
			sc.pos++
		case ']':
			sc.pos++
			return nil
		default:
			return sc.fail(", or ]")
		}
	}
}

// str walks over a string; the search for its quote is the one hot loop of a long prompt.
func (sc *scanner) str() error {
	sc.pos++
	for {
		quote := bytes.IndexByte(sc.raw[sc.pos:], '"')
		if quote < 0 {
			sc.pos = len(sc.raw)
			return sc.fail("a closing quote")
		}
		sc.pos += quote + 1
		if !sc.escaped(sc.pos - 1) {
			return nil
		}
	}
}

// escaped reports whether an odd number of backslashes stands before the byte.
func (sc *scanner) escaped(at int) bool {
	count := 0
	for at-1-count >= 0 && sc.raw[at-1-count] == '\\' {
		count++
	}
	return count%2 == 1
}

func (sc *scanner) literal(word string) error {
	if !bytes.HasPrefix(sc.raw[sc.pos:], []byte(word)) {
		return sc.fail(word)
	}
	sc.pos += len(word)
	return nil
}

func (sc *scanner) number() error {
	start := sc.pos
	for sc.pos < len(sc.raw) && bytes.IndexByte([]byte("+-0123456789.eE"), sc.raw[sc.pos]) >= 0 {
		sc.pos++
	}
	if sc.pos == start {
		return sc.fail("a value")
	}
	return nil
}
