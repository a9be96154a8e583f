package vwrule

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"vanillawind.example/vanillawind/pkg/vwid"
	"vanillawind.example/vanillawind/pkg/vwunit"
)

// maxRouteTimeout bounds the times of routes and of the intake. It only keeps mistyped units out.
const maxRouteTimeout = 24 * time.Hour

// Route sends the jobs of one host and path prefix to a service.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service vwid.Service
	// Level is from MinPriority to MaxPriority, as for teams.
	Level int
	// Timeout is how long a request of the route may take.
	Timeout time.Duration
	// Target and Slowdown give the response time objective of a job: Slowdown times the run time of its
	// longest task, and Target more.
	Target   time.Duration
	Slowdown float64
	// Attempts is how often a task may fail before its job does.
	Attempts   int
	Idempotent bool
}

// Objective returns the response time that a job whose longest task runs for runTime is to be answered in.
func (r *Route) Objective(runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime)*r.Slowdown) + r.Target
}

// defaultRoute holds what a route has where its rule sets nothing.
var defaultRoute = Route{Level: 5, Target: 100 * time.Millisecond, Slowdown: 2, Attempts: 1}

// Backend says how the backend servers of one service are used.
type Backend struct {
	// GuardsCapacity tells that backend servers refuse what does not fit. Others start all that they are
	// told to, so that their agent has to count.
	GuardsCapacity bool
	// Connections bounds the connections to one backend server; zero means that no rule does.
	Connections int
}

// Intake bounds what entries read from callers.
type Intake struct {
	HeaderBytes   vwunit.Bytes
	BodyBytes     vwunit.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// defaultIntake has the limits of usual HTTP servers.
var defaultIntake = Intake{HeaderBytes: 64 * vwunit.KiB, BodyBytes: vwunit.MiB, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}

// Edition returns the number of the newest edition from a source of rules, zero when there is none.
func (r *Rules) Edition(source string) uint64 {
	return r.editions[source]
}

// Backend returns how the backend servers of a service are used.
func (r *Rules) Backend(service vwid.Service) Backend {
	return r.backends[service]
}

// Intake returns the bounds of what entries read.
func (r *Rules) Intake() Intake {
	return r.intake
}

// Route returns the route of a host with the longest prefix that path begins with. It allocates nothing.
func (r *Rules) Route(host, path string) (*Route, bool) {
	routes := r.routes[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (r *Rules) Routes() int {
	count := 0
	for _, routes := range r.routes {
		count += len(routes)
	}
	return count
}

// routeKey matches the beginning of a line that holds the rule of a route. A key that is written in another way, such as
// with quotes, does not match.
var routeKey = regexp.MustCompile(`^\s*` + string(KindRoute) + `\s*\.`)

// RemoveRoutes returns the text of rules without those of routes, for processes that take no requests of clients.
func RemoveRoutes(text []byte) []byte {
	kept := make([]byte, 0, len(text))
	for line := range bytes.Lines(text) {
		if !routeKey.Match(line) {
			kept = append(kept, line...)
		}
	}
	return slices.Clip(kept)
}

// sortRoutes orders the routes of each host for Route.
func (r *Rules) sortRoutes() {
	for _, routes := range r.routes {
		slices.SortFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
}

// addDetail enters a rule that describes the one thing that its key names.
func (c *checker) addDetail(r *rule) {
	d := draft{route: defaultRoute, intake: defaultIntake}
	r.applyTo(&d)
	switch r.kind {
	case KindEdition:
		c.rules.editions[r.names[0].text] = d.edition
	case KindBackend:
		c.rules.backends[vwid.Service(r.names[0].text)] = d.backend
	case KindIntake:
		c.rules.intake = d.intake
	case KindRoute:
		d.route.Name = r.names[0].text
		c.addRoute(r, d.route)
	default:
	}
}

// routePlace is what a route answers for. No two routes have the same.
type routePlace struct{ host, prefix string }

func (c *checker) addRoute(r *rule, route Route) {
	for _, required := range []string{"Host", "Prefix", "Service", "Timeout"} {
		if _, sets := r.find(required); !sets {
			c.report(r, r.column, fmt.Sprintf("%s sets no %s", r.key(), required), "write "+KindRoute.example())
			return
		}
	}
	service, _ := r.find("Service")
	checkDeclared(c, r, name{text: string(route.Service), column: service.column}, KindService, c.rules.services)
	place := routePlace{route.Host, route.Prefix}
	if other, taken := c.routeNames[place]; taken {
		prefix, _ := r.find("Prefix")
		c.report(r, prefix.column, fmt.Sprintf("%s.%s already has the host %s and the prefix %s", KindRoute, other, route.Host, route.Prefix), "delete one of the two lines or change its prefix")
		return
	}
	c.routeNames[place] = route.Name
	c.rules.routes[route.Host] = append(c.rules.routes[route.Host], route)
}

// isHost accepts what a Host header may hold, in the lower case in which hosts are compared.
func isHost(text string) bool {
	return text != "" && len(text) <= 255 && text == strings.ToLower(text) && !strings.ContainsAny(text, "/ \t\r\n")
}

func isPath(text string) bool {
	return strings.HasPrefix(text, "/") && len(text) <= 2048 && !strings.ContainsAny(text, " \t\r\n?#")
}
