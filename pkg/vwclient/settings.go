// Package vwclient calls vanillawind from Go: Client for callers and Operator for operators. Both take a
// list of entry addresses and retry by verdict: a call that has not run is sent again with growing
// pauses, and one that may have run is sent again only under the id that makes the copies one. Every
// error carries a verdict, which IsNotRun, IsMayHaveRun and IsRan tell.
package vwclient

import (
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Settings say where the entries are and how patient a client is. Zero values take the defaults.
type Settings struct {
	// Entries are the base URLs of entries, as "http://10.0.0.1:8080". Any entry serves any call.
	Entries []string
	// FirstPause is the longest pause before the second attempt; each further one is twice as long.
	FirstPause time.Duration
	// MaxPause bounds the pauses. A longer Retry-After of an entry wins over it.
	MaxPause time.Duration
	// AttemptTimeout ends an attempt that may be sent again, so that an entry that went silent costs
	// no more. It does not bound calls that are sent only once.
	AttemptTimeout time.Duration
	// Patience bounds a whole call whose context has no deadline.
	Patience time.Duration
	// MaxAnswer bounds one answer in bytes.
	MaxAnswer int64
	// Transport sends the requests; nil takes one of the client's own.
	Transport http.RoundTripper
}

const (
	defaultFirstPause     = 50 * time.Millisecond
	defaultMaxPause       = 5 * time.Second
	defaultAttemptTimeout = 30 * time.Second
	// defaultPatience is how long control recognises a submission id.
	defaultPatience = 5 * time.Minute
	// defaultMaxAnswer is the default bound of the answers that an entry keeps.
	defaultMaxAnswer = 256 << 20
	// idleTimeout is below the usual idle timeouts of servers, so that a request seldom meets a
	// connection that the server is just closing.
	idleTimeout = 4 * time.Second
	maxIdle     = 64
)

func (s Settings) complete() (Settings, error) {
	if len(s.Entries) == 0 {
		return s, trace.BadParameter("no entry address is given")
	}
	entries := make([]string, len(s.Entries))
	for i, entry := range s.Entries {
		parsed, err := url.Parse(entry)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return s, trace.BadParameter("entry address %q is not a URL like http://10.0.0.1:8080", entry)
		}
		entries[i] = strings.TrimSuffix(entry, "/")
	}
	s.Entries = entries
	setDefault(&s.FirstPause, defaultFirstPause)
	setDefault(&s.MaxPause, defaultMaxPause)
	setDefault(&s.AttemptTimeout, defaultAttemptTimeout)
	setDefault(&s.Patience, defaultPatience)
	setDefault(&s.MaxAnswer, defaultMaxAnswer)
	if s.Transport == nil {
		s.Transport = makeTransport()
	}
	return s, nil
}

func setDefault[T ~int64](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func makeTransport() *http.Transport {
	// The probes find a connection that a device on the path has forgotten while a call waits on it.
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}
