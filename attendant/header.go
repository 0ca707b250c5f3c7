package attendant

import (
	"maps"
	"net/http"
	"strings"
)

// hopByHopFields are the header fields that apply to a single connection (RFC
// 9110, section 7.6.1), and those that net/http sets itself.
var hopByHopFields = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
	"Content-Length", "Expect",
}

// endToEndHeader returns a copy of a header without the hop-by-hop fields and
// those that Connection names.
func endToEndHeader(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		out.Del(name)
	}
	// The minion's response may have a field name with a space, which no server
	// can forward.
	maps.DeleteFunc(out, func(name string, _ []string) bool { return strings.Contains(name, " ") })
	return out
}
