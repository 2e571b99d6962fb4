package trip

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/joomcode/errorx"
)

const (
	// maxHeadBytes is the maximum size in bytes of the heads of an answer, and maxFields is the maximum number of their lines. A parsed line takes several times
	// its size if it is short. Many answers whose heads do not end would else fill the memory.
	maxHeadBytes, maxFields = 64 << 10, 1000
	// maxStatus is the highest status that an answer may have.
	maxStatus = 599
	// maxLineKept is how many bytes of a line are kept, enough for a status and for the name that frames a body.
	maxLineKept = 32
)

var (
	// Errors is the namespace of the errors that this package returns.
	Errors = errorx.NewNamespace("trip")
	// InvalidHead reports that the head of an answer is none in the protocol, although net/http may accept it.
	InvalidHead = Errors.NewType("invalid_head")
)

// headCheck checks the heads of an answer as they arrive, the informational ones that precede it included. net/http accepts statuses that cannot be passed on,
// versions that frame a body in another way, blanks in the name of a field, and a line that begins with a blank, which it adds to the line before. What a
// caller then gets is not what the server sent: that line, or a body that ends elsewhere if the line would have framed it. So an answer with such a head
// counts as none. The zero value expects a status line.
type headCheck struct {
	// ended reports whether the head of the answer has ended. What follows is not looked at.
	ended bool
	// inFields reports whether the status line has ended.
	inFields bool
	// interim reports whether the status is that of an informational answer, which another one follows.
	interim bool
	// oldVersion reports whether the answer is one of HTTP/1.0, whose body never has chunks.
	oldVersion bool
	// line holds the first maxLineKept bytes of the current line, and length is how many bytes of it have come.
	line   []byte
	length int
	// inValue reports whether the colon after the name has come.
	inValue bool
	// returned reports whether the last byte was a CR, which only an LF may follow.
	returned bool
	// lines is the number of lines that have ended.
	lines int
}

// check takes the next bytes of the connection. The error is an InvalidHead.
func (hc *headCheck) check(raw []byte) error {
	for _, char := range raw {
		if hc.ended {
			return nil
		}
		if reason := hc.take(char); reason != "" {
			return InvalidHead.New("trip: the head of the answer has %s; the request counts as one that may have run", reason)
		}
	}
	return nil
}

// take takes one byte and returns what is wrong with it, empty if nothing is.
func (hc *headCheck) take(char byte) (reason string) {
	if char == '\n' {
		return hc.endLine()
	}
	if hc.returned {
		return "a CR within a line"
	}
	if char == '\r' {
		hc.returned = true
		return ""
	}
	isText := !hc.inFields || hc.inValue
	switch {
	case isText && (char < ' ' && char != '\t' || char == 0x7f):
		return "a control byte"
	case isText:
	case char == ':' && hc.length == 0:
		return "a field without a name"
	case char == ':':
		hc.inValue = true
		if hc.oldVersion && strings.EqualFold(string(hc.line), "Transfer-Encoding") {
			return "chunks in HTTP/1.0"
		}
	case !isToken(char):
		return "a field whose name has a blank or another byte that is none of a name"
	}
	hc.length++
	if len(hc.line) < maxLineKept {
		hc.line = append(hc.line, char)
	}
	return ""
}

// endLine ends the current line.
func (hc *headCheck) endLine() (reason string) {
	switch {
	case !hc.inFields:
		reason = hc.readStatus()
		hc.inFields = true
	case hc.length == 0 && hc.interim:
		*hc = headCheck{line: hc.line, lines: hc.lines}
	case hc.length == 0:
		hc.ended = true
	case !hc.inValue:
		reason = "a field without a value"
	}
	hc.line, hc.length, hc.inValue, hc.returned = hc.line[:0], 0, false, false
	if hc.lines++; hc.lines > maxFields && reason == "" {
		reason = "too many lines"
	}
	return reason
}

// readStatus reads the status line.
func (hc *headCheck) readStatus() (reason string) {
	version, rest, _ := bytes.Cut(hc.line, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len(version)-1]) {
		return "a version that is not of HTTP/1"
	}
	hc.oldVersion = version[len(version)-1] == '0'
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 || !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) {
		return "a status that is no number of three digits"
	}
	status := 100*int(code[0]-'0') + 10*int(code[1]-'0') + int(code[2]-'0')
	// After a 101 what follows is no body of an answer.
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return "a status that answers no request"
	}
	hc.interim = status < http.StatusOK
	return ""
}

// checkParsed checks the head of an answer as net/http has parsed it. headCheck has not seen it if it came before a kept connection was given to the request.
func checkParsed(resp *http.Response) error {
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return InvalidHead.New("trip: the answer has the status %d; the request counts as one that may have run", resp.StatusCode)
	}
	for name := range resp.Header {
		if strings.ContainsFunc(name, func(char rune) bool { return char > 0x7f || !isToken(byte(char)) }) {
			return InvalidHead.New("trip: the answer has a field named %q; the request counts as one that may have run", name[:min(len(name), maxLineKept)])
		}
	}
	return nil
}

func isDigit(char byte) bool { return '0' <= char && char <= '9' }

// isToken reports whether the name of a field may have the byte.
func isToken(char byte) bool {
	return isDigit(char) || 'a' <= char && char <= 'z' || 'A' <= char && char <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", char) >= 0
}
