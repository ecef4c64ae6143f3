package model

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteName names a route, unique within one version of the routing configuration.
type RouteName string

// RoutingVersion numbers the versions of the routing configuration. Successive versions may differ by more than 1; 0 means
// none.
type RoutingVersion uint64

// Route selects requests and defines which services they are sent to and with which limits.
type Route struct {
	Name RouteName
	// Host and Prefix select the requests by their host and the prefix of their path. If several routes of a host match, the
	// longest prefix wins. A prefix begins and ends with a slash.
	Host   string
	Prefix string
	// Idempotent requests may run more than once; all others at most once.
	Idempotent bool
	// MaxAttempts is the maximum number of servers of one shard that a request may be sent to, at least 1.
	MaxAttempts int
	// Timeout bounds the time until a request is answered.
	Timeout time.Duration
	// Target is the latency within which an answer has its full value to the caller.
	Target time.Duration
	Rank   Rank
	// Parts are the services among which requests are divided: one for most routes, none for a fan-out route.
	Parts []WeightedService
	// Index is nil unless the route is a fan-out route, which merges the replies of many services.
	Index *FanOut
	// Public means that requests need no key.
	Public bool
	// Regions are the home regions: those in which requests may be served. It is nil or not empty, since messages between daemons
	// do not tell the two apart.
	Regions Regions
}

// WeightedService is a service that gets a part of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// FanOut describes an answer that is merged from the replies of one server of each of many services.
type FanOut struct {
	Services []ServiceName
	// Results is the number of records in an answer.
	Results int
	// MinCoverage is the minimum fraction of the services whose replies an answer needs, in [0, 1].
	MinCoverage float64
}

// BackendService is the routing configuration of one service.
type BackendService struct {
	Name ServiceName
	// HealthPath is the path of its servers' health check.
	HealthPath string
	// MaxConnections is the number of connections that one of its servers accepts from all daemons together.
	MaxConnections int
	// ColdRate is the number of requests per second that one of its servers tolerates while it is cold, from all daemons
	// together; 0 means no limit.
	ColdRate float64
}

// CallerLimits bounds the size of requests, the time to send a header and the idle time of a connection.
type CallerLimits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Routing is one version of the routing configuration. It is immutable once built with NewRouting.
type Routing struct {
	Version  RoutingVersion
	Routes   []Route
	Services []BackendService
	Limits   CallerLimits
	// Workspaces are the organizations whose callers have keys.
	Workspaces []Workspace
	// KeysRequired means that requests need a key, unless their route is public. It may be set without any valid workspace.
	KeysRequired bool

	workspaces workspaceIndex
	// routesByHost holds the routes of each host, longest prefix first. Host names are in lower case.
	routesByHost map[string][]*Route
}

// NewRouting returns a version of the routing configuration without workspaces, with its routes indexed by host.
func NewRouting(version RoutingVersion, routes []Route, services []BackendService, limits CallerLimits) *Routing {
	r := &Routing{
		Version: version, Routes: routes, Services: services, Limits: limits, routesByHost: map[string][]*Route{},
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		r.routesByHost[host] = append(r.routesByHost[host], &routes[i])
	}
	for _, list := range r.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r
}

// WithWorkspaces returns a copy of r with the given workspaces, in which requests need keys.
func (r *Routing) WithWorkspaces(workspaces []Workspace) *Routing {
	withKeys := *r
	withKeys.Workspaces, withKeys.KeysRequired = workspaces, true
	withKeys.workspaces = newWorkspaceIndex(workspaces)
	return &withKeys
}

// Match returns the route of a request, or nil if there is none. host must not include a port.
func (r *Routing) Match(host, path string) *Route {
	for _, route := range r.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
