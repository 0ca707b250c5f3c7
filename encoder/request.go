package encoder

import (
	"net/http"
	"slices"
	"strings"

	"agatevalve/common/task"
	v1 "agatevalve/wire/agatevalvev1"
)

// Range of the HTTP status of a final response.
const (
	minStatus = 200
	maxStatus = 599
)

// RequestToWire encodes an HTTP request.
func RequestToWire(r task.Request) *v1.Request {
	return &v1.Request{
		Method: r.Method,
		Path:   textToWire(r.Path),
		Host:   textToWire(r.Host),
		Header: headerToWire(r.Header),
		Body:   r.Body,
	}
}

// RequestFromWire decodes an HTTP request. It rejects one that an HTTP client
// could not send as a well-formed message.
func RequestFromWire(m *v1.Request) (task.Request, error) {
	if m == nil {
		return task.Request{}, missing("request")
	}
	if !isToken(m.GetMethod()) {
		return task.Request{}, invalid("the method %q is not a token", m.GetMethod())
	}
	path, err := pathFromWire(m.GetPath())
	if err != nil {
		return task.Request{}, err
	}
	host, err := httpTextFromWire("host", m.GetHost())
	if err != nil {
		return task.Request{}, err
	}
	header, err := headerFromWire(m.GetHeader())
	if err != nil {
		return task.Request{}, err
	}
	return task.Request{
		Method: m.GetMethod(),
		Path:   path,
		Host:   host,
		Header: header,
		Body:   m.GetBody(),
	}, nil
}

// ResponseToWire encodes an HTTP response.
func ResponseToWire(r task.Response) *v1.Response {
	return &v1.Response{
		Status: int32(r.Status),
		Header: headerToWire(r.Header),
		Body:   r.Body,
	}
}

// ResponseFromWire decodes a final HTTP response, whose status is 200 to 599.
func ResponseFromWire(m *v1.Response) (task.Response, error) {
	if m == nil {
		return task.Response{}, missing("response")
	}
	status := int(m.GetStatus())
	if status < minStatus || status > maxStatus {
		return task.Response{}, invalid("the status %d is not from %d to %d", status, minStatus, maxStatus)
	}
	header, err := headerFromWire(m.GetHeader())
	if err != nil {
		return task.Response{}, err
	}
	return task.Response{Status: status, Header: header, Body: m.GetBody()}, nil
}

// headerToWire encodes a header with its fields sorted by name, so that equal
// headers have equal encodings.
func headerToWire(h http.Header) []*v1.HeaderField {
	fields := make([]*v1.HeaderField, 0, len(h))
	for name, values := range h {
		fields = append(fields, &v1.HeaderField{Name: name, Values: valuesToWire(values)})
	}
	slices.SortFunc(fields, func(a, b *v1.HeaderField) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return fields
}

func valuesToWire(values []string) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = textToWire(v)
	}
	return out
}

func headerFromWire(fields []*v1.HeaderField) (http.Header, error) {
	header := make(http.Header, len(fields))
	for _, f := range fields {
		name := f.GetName()
		if !isToken(name) {
			return nil, invalid("the header name %q is not a token", name)
		}
		if _, duplicate := header[name]; duplicate {
			return nil, invalid("the header %q comes twice", name)
		}
		values, err := valuesFromWire(name, f.GetValues())
		if err != nil {
			return nil, err
		}
		header[name] = values
	}
	return header, nil
}

func valuesFromWire(name string, values []string) ([]string, error) {
	out := make([]string, len(values))
	for i, v := range values {
		text, err := httpTextFromWire("header "+name, v)
		if err != nil {
			return nil, err
		}
		out[i] = text
	}
	return out, nil
}

func pathFromWire(s string) (string, error) {
	path, err := httpTextFromWire("path", s)
	if err != nil {
		return "", err
	}
	if !strings.HasPrefix(path, "/") {
		return "", invalid("the path %q does not start with a slash", path)
	}
	if strings.ContainsAny(path, " \t") {
		return "", invalid("the path %q holds a blank", path)
	}
	return path, nil
}

// httpTextFromWire decodes text for the start line or a header of an HTTP
// message. It rejects control characters other than tab, since a line break
// would inject further headers.
func httpTextFromWire(field, s string) (string, error) {
	text, err := textFromWire(field, s)
	if err != nil {
		return "", err
	}
	if strings.ContainsFunc(text, isControl) {
		return "", invalid("the %s holds a control character", field)
	}
	return text, nil
}

// isControl reports whether r is a control character other than tab.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, isNonTokenRune)
}

func isNonTokenRune(r rune) bool {
	switch {
	case 'a' <= r && r <= 'z', 'A' <= r && r <= 'Z', '0' <= r && r <= '9':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
