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

	// longestTeam and longestKey are in bytes.
	longestTeam = 100
	longestKey  = 255
	// fieldOverhead counts the separators of one header field.
	fieldOverhead = 4
)

// hopByHop are the fields that concern one connection only.
var hopByHop = map[string]bool{
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

// readHeader checks the parts of a request that need no configuration.
func (c *Receiver) readHeader(r *http.Request, sub *submission) *problem {
	if refusal := checkPath(r); refusal != nil {
		return refusal
	}
	if size := headerSize(r); size > c.o.Limits.HeaderBytes {
		return notRun(http.StatusRequestHeaderFieldsTooLarge, "header-too-large",
			fmt.Sprintf("the header has %d bytes, more than %d", size, c.o.Limits.HeaderBytes),
			"send fewer or shorter header fields")
	}
	if r.Header.Get("Upgrade") != "" {
		return notRun(http.StatusBadRequest, "no-upgrade", "the protocol can't be changed", "remove the Upgrade field")
	}
	team, refusal := single(r, headerTeam, longestTeam)
	if refusal != nil {
		return refusal
	}
	key, refusal := readKey(r)
	if refusal != nil {
		return refusal
	}
	sub.Team, sub.Key = task.Team(team), task.Key(key)
	if key != "" {
		sub.Job = task.KeyedJobID(sub.Team, sub.Key)
	}
	return nil
}

func checkPath(r *http.Request) *problem {
	if isInternalPath(r.URL.Path) {
		return notRun(http.StatusNotFound, "callers-only",
			"this listener serves callers only; calls between agatevalve's processes have a listener of their own",
			"call the internal listener from inside the system")
	}
	if reason := pathFault(r.URL.Path); reason != "" {
		return notRun(http.StatusBadRequest, "bad-path", "the path "+reason, "send a plain absolute path")
	}
	return nil
}

// pathFault returns why a path can't be matched safely, or "". A target could
// resolve dot segments and so serve a path that no route was matched for.
func pathFault(path string) string {
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

func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverhead
		}
	}
	return size
}

// single returns the value of a field that may be given once, or "".
func single(r *http.Request, name string, longest int) (string, *problem) {
	values := r.Header.Values(name)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", badField(name, "is given twice", "give it once")
	}
	value := values[0]
	if value == "" {
		return "", badField(name, "is empty", "leave it out or give it a value")
	}
	if len(value) > longest {
		return "", badField(name, fmt.Sprintf("has %d bytes", len(value)), fmt.Sprintf("use at most %d bytes", longest))
	}
	if strings.ContainsFunc(value, func(c rune) bool { return c < ' ' || c > '~' }) {
		return "", badField(name, "has a character that is not printable ASCII", "use printable ASCII")
	}
	return value, nil
}

// readKey returns the idempotency key. Both a structured-field string, as the
// IETF draft has it, and the bare text name the same key.
func readKey(r *http.Request) (string, *problem) {
	value, refusal := single(r, headerKey, longestKey)
	if refusal != nil || !strings.HasPrefix(value, `"`) {
		return value, refusal
	}
	key, ok := unquote(value)
	if !ok || key == "" {
		return "", badField(headerKey, "is not a quoted string with content", `write "some-key" with both quotes`)
	}
	return key, nil
}

// unquote decodes a string of RFC 9651, section 3.3.3.
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

// readDeadline sets both deadlines of a submission.
func (c *Receiver) readDeadline(r *http.Request, sub *submission, now time.Time) *problem {
	value, refusal := single(r, headerDeadline, longestTeam)
	if refusal != nil {
		return refusal
	}
	within := sub.Plan.Route.AnswerWithin
	if within == 0 {
		within = c.o.Limits.AnswerWithin
	}
	deadline := now.Add(within)
	if value != "" {
		var err error
		if deadline, err = time.Parse(time.RFC3339Nano, value); err != nil {
			return badField(headerDeadline, "is not a time in RFC 3339", "write it as 2026-01-02T15:04:05.5Z")
		}
	}
	if !deadline.After(now) {
		return badField(headerDeadline, "has passed", "name a time ahead, and check the caller's clock")
	}
	if limit := now.Add(c.o.Limits.MaxDeadline); deadline.After(limit) {
		return badField(headerDeadline, "lies too far ahead", fmt.Sprintf("name a time within %s", c.o.Limits.MaxDeadline))
	}
	sub.callerDeadline = deadline
	sub.Deadline = deadline.Add(-min(longestReplyMargin, deadline.Sub(now)/replyMarginPart))
	return nil
}

func badField(name, what, remedy string) *problem {
	return notRun(http.StatusBadRequest, "bad-header", name+" "+what, remedy)
}

// endToEnd returns the fields that are passed on, without those that concern
// one connection.
func endToEnd(header http.Header) http.Header {
	named := make(map[string]bool)
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHop[name] && !named[name] && name != "Content-Length" {
			kept[name] = values
		}
	}
	return kept
}
