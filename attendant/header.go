package attendant

import (
	"maps"
	"net/http"
	"strings"
)

// hopByHop names the header fields that belong to one connection (RFC 9110,
// section 7.6.1), and those that net/http writes itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
	"Content-Length", "Expect",
}

// endToEnd returns a copy of a header without its hop-by-hop fields, and
// without those that its Connection field names.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	// A minion's field name may hold a blank, which no server can pass on.
	maps.DeleteFunc(out, func(name string, _ []string) bool { return strings.Contains(name, " ") })
	return out
}
