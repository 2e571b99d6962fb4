package body

import (
	"bytes"
	"encoding/binary"
	"math/bits"
	"strings"
)

// maxDepth bounds the nesting of a body; otherwise a hostile request could exhaust the stack.
const maxDepth = 64

// scanner validates JSON as it walks over it, without allocating.
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

// openAt returns the offset just after the first opening brace.
func (sc *scanner) openAt() int {
	return bytes.IndexByte(sc.raw, '{') + 1
}

func (sc *scanner) skipSpace() {
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
	sc.skipSpace()
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

// object walks over one object and calls visit, unless nil, with the key and value of each member.
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
	err := sc.skipValue(first)
	span.End = sc.pos
	return span, err
}

func (sc *scanner) skipValue(first byte) error {
	switch first {
	case '"':
		return sc.skipString()
	case '{':
		return sc.nested(func() error { return sc.object(nil) })
	case '[':
		return sc.nested(func() error { return sc.array(nil) })
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

// array walks over an array and calls visit, unless it is nil, with the position of each element.
func (sc *scanner) array(visit func(value Span)) error {
	sc.pos++
	if sc.peek() == ']' {
		sc.pos++
		return nil
	}
	for {
		value, err := sc.value()
		if err != nil {
			return err
		}
		if visit != nil {
			visit(value)
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

// skipString walks over a string, eight bytes at a time where possible; this is the hot loop for a long prompt.
func (sc *scanner) skipString() error {
	sc.pos++
	for {
		sc.skipPlain()
		if sc.pos >= len(sc.raw) {
			return sc.fail("a closing quote")
		}
		switch first := sc.raw[sc.pos]; {
		case first == '"':
			sc.pos++
			return nil
		case first == '\\':
			if err := sc.escape(); err != nil {
				return err
			}
		case first < ' ':
			return sc.fail("an escaped control character")
		default:
			sc.pos++
		}
	}
}

// Words of eight equal bytes, for searching eight bytes at once.
const (
	// ones has 1 in every byte.
	ones = 0x0101010101010101
	// highBits has the high bit of every byte set.
	highBits = ones * 0x80
	// spaces is compared with a word to find control characters, which are the bytes below a space.
	spaces = ones * ' '
	// quotes is compared with a word to find the end of a string.
	quotes = ones * '"'
	// backslashes is compared with a word to find an escape.
	backslashes = ones * '\\'
)

// skipPlain advances to the next quote, backslash or control character. It stops earlier where fewer than eight bytes
// are left.
func (sc *scanner) skipPlain() {
	for sc.pos+8 <= len(sc.raw) {
		word := binary.LittleEndian.Uint64(sc.raw[sc.pos:])
		quote := word ^ quotes
		slash := word ^ backslashes
		// The subtraction sets the high bit of a byte that is less than its subtrahend; &^ leaves out bytes that had it
		// before.
		found := (word-spaces)&^word | (quote-ones)&^quote | (slash-ones)&^slash
		if found &= highBits; found != 0 {
			sc.pos += bits.TrailingZeros64(found) / 8
			return
		}
		sc.pos += 8
	}
}

// escape walks over a backslash and the escape sequence that it starts.
func (sc *scanner) escape() error {
	sc.pos++
	if sc.pos >= len(sc.raw) {
		return sc.fail("an escape")
	}
	switch sc.raw[sc.pos] {
	case '"', '\\', '/', 'b', 'f', 'n', 'r', 't':
		sc.pos++
		return nil
	case 'u':
		sc.pos++
		return sc.hex()
	default:
		return sc.fail("an escape that JSON knows")
	}
}

// hexDigits is the number of digits after "\u".
const hexDigits = 4

func (sc *scanner) hex() error {
	for range hexDigits {
		if sc.pos >= len(sc.raw) || !isHex(sc.raw[sc.pos]) {
			return sc.fail("four hexadecimal digits")
		}
		sc.pos++
	}
	return nil
}

func isHex(char byte) bool {
	return isDigit(char) || 'a' <= char|0x20 && char|0x20 <= 'f'
}

func isDigit(char byte) bool {
	return '0' <= char && char <= '9'
}

func (sc *scanner) literal(word string) error {
	if !bytes.HasPrefix(sc.raw[sc.pos:], []byte(word)) {
		return sc.fail(word)
	}
	sc.pos += len(word)
	return nil
}

func (sc *scanner) number() error {
	sc.accept("-")
	if !sc.accept("0") {
		if err := sc.digits(); err != nil {
			return err
		}
	}
	if sc.accept(".") {
		if err := sc.digits(); err != nil {
			return err
		}
	}
	if !sc.accept("eE") {
		return nil
	}
	sc.accept("+-")
	return sc.digits()
}

// accept advances by one byte and returns true if the next byte is one of chars.
func (sc *scanner) accept(chars string) bool {
	if sc.pos >= len(sc.raw) || strings.IndexByte(chars, sc.raw[sc.pos]) < 0 {
		return false
	}
	sc.pos++
	return true
}

// digits walks over one or more digits.
func (sc *scanner) digits() error {
	start := sc.pos
	for sc.pos < len(sc.raw) && isDigit(sc.raw[sc.pos]) {
		sc.pos++
	}
	if sc.pos == start {
		return sc.fail("a value")
	}
	return nil
}
