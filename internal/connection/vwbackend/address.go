package vwbackend

import (
	"net"
	"net/url"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// Address is the checked base URL of a backend server, without a slash at its end.
type Address string

// ParseAddress checks what a backend server announced: host:port, or a http URL of them.
func ParseAddress(text string) (Address, error) {
	if !strings.Contains(text, "://") {
		text = "http://" + text
	}
	parsed, err := url.Parse(text)
	if err != nil {
		return "", trace.BadParameter("backend address %q: %v", text, err)
	}
	if parsed.Scheme != "http" || parsed.User != nil || parsed.RawQuery != "" || parsed.Fragment != "" {
		return "", trace.BadParameter("backend address %q is not a plain http URL", text)
	}
	host, port, err := net.SplitHostPort(parsed.Host)
	number, portErr := strconv.ParseUint(port, 10, 16)
	if err != nil || host == "" || portErr != nil || number == 0 {
		return "", trace.BadParameter("backend address %.80q names no host and port", text)
	}
	return Address(strings.TrimRight(parsed.String(), "/")), nil
}

func (a Address) taskURL(service vwid.Service) string {
	return string(a) + "/Tasks/" + url.PathEscape(string(service))
}
