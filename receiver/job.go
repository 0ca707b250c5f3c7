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
	// maxShownProblems caps the problems listed in one refusal.
	maxShownProblems = 5
	// maxFields caps the header fields of a task and the values of each field.
	maxFields      = 200
	maxMethodBytes = 20
	// tokenPunctuation holds the characters besides letters and digits that RFC
	// 9110, section 5.6.2, allows in a token.
	tokenPunctuation = "!#$%&'*+-.^_`|~"
)

// decodeJob decodes and validates the tasks of a job. Fields that a task omits
// are taken from defaults, which is the request that carried the job.
func decodeJob(body []byte, defaults task.Request, limits loader.Limits) ([]task.Request, *problem) {
	if len(body) == 0 {
		return nil, badJob("the job is empty", `send {"tasks":[...]}`)
	}
	if hasLoneSurrogate(body) {
		return nil, badJob(`a \u escape is half of a surrogate pair`, "send the text in UTF-8, or use body-base64")
	}
	document, err := parser.Parse("job", body)
	if err != nil {
		return nil, badJob(errorText(err), errorRemedy(err, "send valid JSON"))
	}
	root := document.Root()
	reader := taskReader{defaults: defaults, limits: limits}
	tasks := parser.Required(root, "tasks", reader.readTasks)
	root.CheckFields()
	if problems := document.Problems(); len(problems) > 0 {
		return nil, badJob(joinProblems(problems), problems[0].Remedy)
	}
	return tasks, nil
}

// badJob refuses an invalid job.
func badJob(detail, remedy string) *problem {
	return notRun(http.StatusBadRequest, "bad-job", detail, remedy)
}

// joinProblems lists the first problems in one line and counts the rest.
func joinProblems(problems []parser.Problem) string {
	var lines []string
	for _, p := range problems[:min(len(problems), maxShownProblems)] {
		lines = append(lines, p.String())
	}
	text := strings.Join(lines, "; ")
	if omitted := len(problems) - maxShownProblems; omitted > 0 {
		text += fmt.Sprintf("; and %d more", omitted)
	}
	return text
}

// taskReader decodes the tasks of a job.
type taskReader struct {
	// defaults is the request that carried the job.
	defaults task.Request
	limits   loader.Limits
}

// readTasks decodes the list of tasks, which must not be empty.
func (t taskReader) readTasks(v *parser.Value) []task.Request {
	tasks := parser.List(t.limits.JobTasks, parser.Nested(t.readTask))(v)
	if tasks != nil && len(tasks) == 0 {
		v.Refuse("send at least one task", "has no tasks")
	}
	return tasks
}

// readTask decodes one task.
func (t taskReader) readTask(o *parser.Object) task.Request {
	request := task.Request{
		Method: parser.Optional(o, "method", t.defaults.Method, readMethod),
		Path:   parser.Optional(o, "path", t.defaults.Path, readPath),
		Host:   t.defaults.Host,
		Header: parser.Optional(o, "header", http.Header{}, t.readHeader),
	}
	text := parser.Optional(o, "body", "", parser.Verbatim(t.limits.BodyBytes))
	encoded := parser.Optional(o, "body-base64", nil, t.readBase64)
	if text != "" && encoded != nil {
		o.Refuse("body-base64", "keep body or body-base64", "stands beside body")
	}
	request.Body = []byte(text)
	if encoded != nil {
		request.Body = encoded
	}
	return request
}

// readMethod decodes a method. CONNECT is refused, because it can't be
// forwarded.
func readMethod(v *parser.Value) string {
	method := parser.Name(maxMethodBytes)(v)
	if method != "" && (!isToken(method) || method == http.MethodConnect) {
		v.Refuse("use a method such as GET or POST", "%q is not a method that can be passed on", method)
	}
	return method
}

// readPath decodes an absolute path with an optional query.
func readPath(v *parser.Value) string {
	path := parser.Verbatim(1 << 16)(v)
	parsed, err := url.ParseRequestURI(path)
	if err != nil || !strings.HasPrefix(path, "/") {
		v.Refuse("write an absolute path, such as /holds?day=1", "%q is not a path", path)
		return path
	}
	if reason := unsafePathReason(parsed.Path); reason != "" {
		v.Refuse("write a plain absolute path", "%s", reason)
	}
	return path
}

// readHeader decodes and validates the header fields of a task.
func (t taskReader) readHeader(v *parser.Value) http.Header {
	values := parser.List(maxFields, parser.Verbatim(t.limits.HeaderBytes))
	fields := parser.Map(maxFields, values)(v)
	header := make(http.Header, len(fields))
	size := 0
	for name, values := range fields {
		canonical := textproto.CanonicalMIMEHeaderKey(name)
		if reason := invalidFieldReason(canonical, values); reason != "" {
			v.Refuse("remove or correct the field", "field %q %s", name, reason)
		}
		if _, ok := header[canonical]; ok {
			v.Refuse("keep one spelling", "field %q is given in two spellings", name)
		}
		header[canonical] = values
		for _, value := range values {
			size += len(name) + len(value) + fieldOverheadBytes
		}
	}
	if size > t.limits.HeaderBytes {
		v.Refuse(fmt.Sprintf("use at most %d bytes", t.limits.HeaderBytes), "has %d bytes", size)
	}
	return header
}

// invalidFieldReason returns why a header field can't be forwarded, or "".
func invalidFieldReason(name string, values []string) string {
	if !isToken(name) {
		return "has no valid name"
	}
	if hopByHopFields[name] || name == "Host" || name == "Content-Length" {
		return "is set by agatevalve"
	}
	for _, value := range values {
		if strings.ContainsFunc(value, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
			return "has a control character"
		}
	}
	return ""
}

// isToken reports whether text is a token (RFC 9110, section 5.6.2).
func isToken(text string) bool {
	for _, c := range text {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && !strings.ContainsRune(tokenPunctuation, c) {
			return false
		}
	}
	return text != ""
}

// readBase64 decodes a body. An empty one is not nil, which tells it from an
// absent one.
func (t taskReader) readBase64(v *parser.Value) []byte {
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

// hasLoneSurrogate reports whether JSON text has an escaped surrogate without
// its other half, which the decoder would replace silently.
func hasLoneSurrogate(text []byte) bool {
	for i := 0; i+1 < len(text); i++ {
		if text[i] != '\\' {
			continue
		}
		i++
		unit := surrogateAt(text, i)
		if unit == 0 {
			continue
		}
		low := i + len(`uXXXX\`)
		if unit >= 0xdc00 || low >= len(text) || text[low-1] != '\\' || surrogateAt(text, low) < 0xdc00 {
			return true
		}
		i = low + len("XXXX")
	}
	return false
}

// surrogateAt returns the surrogate code unit of the escape whose u is at
// text[i], or 0.
func surrogateAt(text []byte, i int) int {
	if i+4 >= len(text) || text[i] != 'u' {
		return 0
	}
	unit := 0
	for _, c := range text[i+1 : i+5] {
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
