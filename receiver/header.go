package receiver

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"agatevalve/common/task"
)

const (
	headerTeam     = "Agatevalve-Team"
	headerDeadline = "Agatevalve-Deadline"
	headerJob      = "Agatevalve-Job"
	headerKey      = "Idempotency-Key"

	// maxTeamBytes also caps the deadline field.
	maxTeamBytes = 100
	maxKeyBytes  = 255
	// fieldOverheadBytes counts the colon, space and line break of one header
	// field.
	fieldOverheadBytes = 4
)

// hopByHopFields are the header fields that apply to a single connection and
// are not forwarded.
var hopByHopFields = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// readHeader validates the parts of a request that need no configuration, and
// sets the team, the idempotency key and the job ID.
func (c *Receiver) readHeader(r *http.Request, sub *submission) *problem {
	if refusal := checkPath(r); refusal != nil {
		return refusal
	}
	if size := headerSize(r); size > c.options.Limits.HeaderBytes {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, "header-too-large",
			fmt.Sprintf("the header has %d bytes, more than %d", size, c.options.Limits.HeaderBytes),
			"send fewer or shorter header fields")
	}
	if r.Header.Get("Upgrade") != "" {
		return notRun(http.StatusBadRequest, "no-upgrade", "the protocol can't be changed", "remove the Upgrade field")
	}
	team, refusal := singleValue(r, headerTeam, maxTeamBytes)
	if refusal != nil {
		return refusal
	}
	key, refusal := readIdempotencyKey(r)
	if refusal != nil {
		return refusal
	}
	sub.Team, sub.Key = task.Team(team), task.Key(key)
	if key != "" {
		sub.Job = task.KeyedJobID(sub.Team, sub.Key)
	}
	return nil
}

// checkPath refuses internal paths and paths that can't be matched safely.
func checkPath(r *http.Request) *problem {
	if isInternalPath(r.URL.Path) {
		return notRun(http.StatusNotFound, "callers-only",
			"this listener serves callers only; calls between agatevalve's processes have a listener of their own",
			"call the internal listener from inside the system")
	}
	if reason := unsafePathReason(r.URL.Path); reason != "" {
		return notRun(http.StatusBadRequest, "bad-path", "the path "+reason, "send a plain absolute path")
	}
	return nil
}

// unsafePathReason returns why a path can't be matched safely, or "". A target
// could resolve dot segments and so serve a path for which no route was
// matched.
func unsafePathReason(path string) string {
	if !strings.HasPrefix(path, "/") {
		return "does not start with a slash"
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return "has a dot segment"
		}
	}
	return ""
}

// headerSize returns the approximate size of the request line and header in
// bytes.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverheadBytes
		}
	}
	return size
}

// singleValue returns the value of a header field, or "" when it is absent. A
// repeated, empty, too long or non-ASCII value is refused.
func singleValue(r *http.Request, name string, maxBytes int) (string, *problem) {
	values := r.Header.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", badHeader(name, "is given twice", "give it once")
	}
	value := values[0]
	if value == "" {
		return "", badHeader(name, "is empty", "leave it out or give it a value")
	}
	if len(value) > maxBytes {
		return "", badHeader(name, fmt.Sprintf("has %d bytes", len(value)), fmt.Sprintf("use at most %d bytes", maxBytes))
	}
	if strings.ContainsFunc(value, func(c rune) bool { return c < ' ' || c > '~' }) {
		return "", badHeader(name, "has a character that is not printable ASCII", "use printable ASCII")
	}
	return value, nil
}

// readIdempotencyKey returns the idempotency key, or "". A structured-field
// string, as in the IETF draft, and the same text without quotes are the same
// key.
func readIdempotencyKey(r *http.Request) (string, *problem) {
	value, refusal := singleValue(r, headerKey, maxKeyBytes)
	if refusal != nil || !strings.HasPrefix(value, `"`) {
		return value, refusal
	}
	key, ok := unquote(value)
	if !ok || key == "" {
		return "", badHeader(headerKey, "is not a quoted string with content", `write "some-key" with both quotes`)
	}
	return key, nil
}

// unquote decodes a structured-field string (RFC 9651, section 3.3.3) and
// reports whether it is valid.
func unquote(value string) (string, bool) {
	if len(value) < 2 || !strings.HasSuffix(value, `"`) {
		return "", false
	}
	var b strings.Builder
	inner := value[1 : len(value)-1]
	for i := 0; i < len(inner); i++ {
		if inner[i] == '"' {
			return "", false
		}
		if inner[i] == '\\' {
			i++
			if i == len(inner) || (inner[i] != '"' && inner[i] != '\\') {
				return "", false
			}
		}
		b.WriteByte(inner[i])
	}
	return b.String(), true
}

// readDeadline sets the caller's deadline, from the header or else from the
// timeout of the route or the limits, and the core's earlier deadline.
func (c *Receiver) readDeadline(r *http.Request, sub *submission, now time.Time) *problem {
	value, refusal := singleValue(r, headerDeadline, maxTeamBytes)
	if refusal != nil {
		return refusal
	}
	timeout := sub.Plan.Route.AnswerWithin
	if timeout == 0 {
		timeout = c.options.Limits.AnswerWithin
	}
	deadline := now.Add(timeout)
	if value != "" {
		var err error
		if deadline, err = time.Parse(time.RFC3339Nano, value); err != nil {
			return badHeader(headerDeadline, "is not a time in RFC 3339", "write it as 2026-01-02T15:04:05.5Z")
		}
	}
	if !deadline.After(now) {
		return badHeader(headerDeadline, "has passed", "name a time ahead, and check the caller's clock")
	}
	if limit := now.Add(c.options.Limits.MaxDeadline); deadline.After(limit) {
		return badHeader(headerDeadline, "lies too far ahead", fmt.Sprintf("name a time within %s", c.options.Limits.MaxDeadline))
	}
	sub.callerDeadline = deadline
	sub.Deadline = deadline.Add(-min(maxReplyMargin, deadline.Sub(now)/replyMarginDivisor))
	return nil
}

// badHeader refuses a request for one of its header fields.
func badHeader(name, detail, remedy string) *problem {
	return notRun(http.StatusBadRequest, "bad-header", name+" "+detail, remedy)
}

// endToEndHeader returns the fields that are forwarded: all but the hop-by-hop
// fields, those that Connection names, and Content-Length.
func endToEndHeader(header http.Header) http.Header {
	connectionFields := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			connectionFields[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHopFields[name] && !connectionFields[name] && name != "Content-Length" {
			forwarded[name] = values
		}
	}
	return forwarded
}
