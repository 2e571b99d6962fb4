package fault

import (
	"fmt"
	"strings"
)

// BrokenAnswers returns answers by description whose heads are none in the protocol: the status, the version, the name of a field or its value. Each holds
// the given lines of fields, which end in CRLF each, and the body. Receivers that go on after such a head pass it on, or take another body for the answer's.
func BrokenAnswers(fields, body string) map[string]string {
	const status = "HTTP/1.1 200 OK"
	length, chunked := fmt.Sprintf("Content-Length: %d\r\n", len(body)), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	answers := map[string]string{}
	add := func(description, status, framing, body string) {
		answers[description] = fmt.Sprintf("%s\r\n%s%s\r\n%s", status, fields, framing, body)
	}
	for _, code := range []string{"000", "099", "0", "+99", "-00", "-01", "600", "999", "2000", "20", "2 0", ""} {
		add("status "+code, "HTTP/1.1 "+code+" Trouble", length, body)
	}
	for _, version := range []string{"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HTTP/1", "HTCPCP/1.0", "http/1.1", ""} {
		add("version "+version, version+" 200 OK", length, body)
	}
	add("control byte in the reason", status+"\x01", length, body)
	add("CR in the reason", status+"\rK", length, body)
	for description, line := range map[string]string{
		"blank before the colon": "X-Trouble : 1", "blank in a name": "X Trouble: 1", "blanks only": "  : 1", "no name": ": 1", "no colon": "X-Trouble",
		"blank before a name": " X-Trouble: 1", "tab before a name": "\tX-Trouble: 1", "tab in a name": "X\tTrouble: 1", "tab before the colon": "X-Trouble\t: 1",
		"NUL in a name": "X\x00Trouble: 1", "control byte in a name": "X\x01Trouble: 1", "DEL in a name": "X\x7fTrouble: 1", "CR in a name": "X\rTrouble: 1",
		"vertical tab before a name": "\x0bX-Trouble: 1", "NUL in a value": "X-Trouble: a\x00b", "control byte in a value": "X-Trouble: a\x01b", "CR in a value": "X-Trouble: a\rb",
	} {
		add(description, status, line+"\r\n"+length, body)
		add(description+", after the length", status, length+line+"\r\n", body)
	}
	// The first byte of a name is a blank where the head has no other field before it.
	answers["blank before the first name"] = status + "\r\n " + fields + length + "\r\n" + body
	// Without the field, the body would end elsewhere.
	add("length, blank before the colon", status, strings.Replace(length, ":", " :", 1), body)
	add("length, blank before the name", status, " Content-Length: 5\r\n", body)
	add("length, control byte", status, "Content-Length\x01: 5\r\n", body)
	add("chunks, blank before the colon", status, "Transfer-Encoding : chunked\r\n", chunked)
	add("chunks, blank before the name", status, " Transfer-Encoding: chunked\r\n", chunked)
	add("chunks in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunked)
	add("two lengths", status, length+"Content-Length: 5\r\n", body)
	return answers
}
