package receiver

import (
	"encoding/base64"
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"agatevalve/common/task"
	"agatevalve/loader"
	"agatevalve/parser"
)

const (
	// shownProblems caps the mistakes named in one refusal.
	shownProblems = 5
	// mostFields caps the header fields of a task, and the values of one.
	mostFields = 200
	// longestMethod is in bytes.
	longestMethod = 20
	tokenSigns    = "!#$%&'*+-.^_`|~"
)

// decodeJob reads the tasks of a job. What a task leaves out comes from the
// request that carried the job.
func decodeJob(body []byte, carrier task.Request, limits loader.Limits) ([]task.Request, *problem) {
	if len(body) == 0 {
		return nil, badJob("the job is empty", `send {"tasks":[...]}`)
	}
	if hasLoneSurrogate(body) {
		return nil, badJob(`a \u escape is half of a surrogate pair`, "send the text in UTF-8, or use body-base64")
	}
	document, err := parser.Parse("job", body)
	if err != nil {
		return nil, badJob(textOf(err), remedyOf(err, "send valid JSON"))
	}
	root := document.Root()
	reader := taskReader{carrier: carrier, limits: limits}
	tasks := parser.Required(root, "tasks", reader.list)
	root.CheckFields()
	if problems := document.Problems(); len(problems) > 0 {
		return nil, badJob(describe(problems), problems[0].Remedy)
	}
	return tasks, nil
}

func badJob(detail, remedy string) *problem {
	return notRun(http.StatusBadRequest, "bad-job", detail, remedy)
}

func describe(problems []parser.Problem) string {
	var lines []string
	for _, p := range problems[:min(len(problems), shownProblems)] {
		lines = append(lines, p.String())
	}
	text := strings.Join(lines, "; ")
	if hidden := len(problems) - shownProblems; hidden > 0 {
		text += fmt.Sprintf("; and %d more", hidden)
	}
	return text
}

type taskReader struct {
	carrier task.Request
	limits  loader.Limits
}

func (t taskReader) list(v *parser.Value) []task.Request {
	tasks := parser.List(t.limits.JobTasks, parser.Nested(t.task))(v)
	if tasks != nil && len(tasks) == 0 {
		v.Refuse("send at least one task", "has no tasks")
	}
	return tasks
}

func (t taskReader) task(o *parser.Object) task.Request {
	request := task.Request{
		Method: parser.Optional(o, "method", t.carrier.Method, readMethod),
		Path:   parser.Optional(o, "path", t.carrier.Path, readPath),
		Host:   t.carrier.Host,
		Header: parser.Optional(o, "header", http.Header{}, t.header),
	}
	text := parser.Optional(o, "body", "", parser.Verbatim(t.limits.BodyBytes))
	encoded := parser.Optional(o, "body-base64", nil, t.base64)
	if text != "" && encoded != nil {
		o.Refuse("body-base64", "keep body or body-base64", "stands beside body")
	}
	request.Body = []byte(text)
	if encoded != nil {
		request.Body = encoded
	}
	return request
}

func readMethod(v *parser.Value) string {
	method := parser.Name(longestMethod)(v)
	if method != "" && (!isToken(method) || method == http.MethodConnect) {
		v.Refuse("use a method such as GET or POST", "%q is not a method that can be passed on", method)
	}
	return method
}

func readPath(v *parser.Value) string {
	path := parser.Verbatim(1 << 16)(v)
	parsed, err := url.ParseRequestURI(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		v.Refuse("write an absolute path, such as /holds?day=1", "%q is not a path", path)
		return path
	}
	if reason := pathFault(parsed.Path); reason != "" {
		v.Refuse("write a plain absolute path", "%s", reason)
	}
	return path
}

func (t taskReader) header(v *parser.Value) http.Header {
	values := parser.List(mostFields, parser.Verbatim(t.limits.HeaderBytes))
	fields := parser.Map(mostFields, values)(v)
	header := make(http.Header, len(fields))
	size := 0
	for name, values := range fields {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if reason := fieldFault(canonical, values); reason != "" {
			v.Refuse("remove or correct the field", "field %q %s", name, reason)
		}
		if _, ok := header[canonical]; ok {
			v.Refuse("keep one spelling", "field %q is given in two spellings", name)
		}
		header[canonical] = values
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead
		}
	}
	if size > t.limits.HeaderBytes {
		v.Refuse(fmt.Sprintf("use at most %d bytes", t.limits.HeaderBytes), "has %d bytes", size)
	}
	return header
}

// fieldFault returns why a header field can't be passed on, or "".
func fieldFault(name string, values []string) string {
	if !isToken(name) {
		return "has no valid name"
	}
	if hopByHop[name] || name == "Host" || name == "Content-Length" {
		return "is set by agatevalve"
	}
	for _, value := range values {
		if strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return "has a control character"
		}
	}
	return ""
}

// isToken reports whether text is a token of RFC 9110, section 5.6.2.
func isToken(text string) bool {
	for _, c := range text {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune(tokenSigns, c) {
			return false
		}
	}
	return text != ""
}

func (t taskReader) base64(v *parser.Value) []byte {
	text := parser.Verbatim(base64.StdEncoding.EncodedLen(t.limits.BodyBytes))(v)
	body, err := base64.StdEncoding.Strict().DecodeString(text)
	if err != nil {
		v.Refuse("encode the body in standard base64 with padding", "is not base64")
	}
	if body == nil {
		body = []byte{}
	}
	return body
}

// hasLoneSurrogate reports whether JSON text holds a surrogate escape without
// its other half, which decoding would replace silently.
func hasLoneSurrogate(text []byte) bool {
	for i := 0; i+1 < len(text); i++ {
		if text[i] != '\\' {
			continue
		}
		i++
		unit := surrogate(text, i)
		if unit == 0 {
			continue
		}
		low := i + len(`uXXXX\`)
		if unit >= 0xdc00 || low >= len(text) || text[low-1] != '\\' || surrogate(text, low) < 0xdc00 {
			return true
		}
		i = low + len("XXXX")
	}
	return false
}

// surrogate returns the surrogate that the escape at text[at:] names, or 0.
func surrogate(text []byte, at int) int {
	if at+4 >= len(text) || text[at] != 'u' {
		return 0
	}
	unit := 0
	for _, c := range text[at+1 : at+5] {
		digit := strings.IndexByte("0123456789abcdef", c|0x20)
		if digit < 0 {
			return 0
		}
		unit = unit<<4 | digit
	}
	if unit < 0xd800 || unit > 0xdfff {
		return 0
	}
	return unit
}
