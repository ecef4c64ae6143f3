package model

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteName names a route, unique within one version of the routing configuration.
type RouteName string

// RoutingVersion numbers the versions of the routing configuration, in uneven steps; 0 means none.
type RoutingVersion uint64

// Route says which requests go where, and how.
type Route struct {
	Name RouteName
	// Host and Prefix select the requests: the longest prefix of a host that begins the path. A prefix begins and ends
	// with a slash.
	Host   string
	Prefix string
	// Idempotent requests may run more than once; all others at most once.
	Idempotent bool
	// MaxAttempts is the largest number of servers of one shard that a request may be sent to, at least 1.
	MaxAttempts int
	// Timeout bounds the time that a request is kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full value.
	Target time.Duration
	Rank   Rank
	// Parts are the services among which requests are divided; one for most routes, none for a route over an index.
	Parts []RoutePart
	// Index is nil unless the route gathers replies of many services.
	Index *FanOut
}

// RoutePart is one service of a route with its weight.
type RoutePart struct {
	Service ServiceName
	Weight  float64
}

// FanOut describes an answer that is gathered from one server of each of many services.
type FanOut struct {
	Services []ServiceName
	// Results is the number of records in an answer.
	Results int
	// MinCoverage is the share of the services that an answer needs, in [0, 1].
	MinCoverage float64
}

// BackendService is what the routing configuration says about one service.
type BackendService struct {
	Name ServiceName
	// HealthPath is the path of its servers' health check.
	HealthPath string
	// MaxConnections is the number of connections that one of its servers accepts from all daemons together.
	MaxConnections int
}

// CallerLimits bounds what callers may send, and how long they may take.
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

	// hosts holds the routes of each host, longest prefix first.
	hosts map[string][]*Route
}

// NewRouting indexes a version.
func NewRouting(version RoutingVersion, routes []Route, services []BackendService, limits CallerLimits) *Routing {
	r := &Routing{Version: version, Routes: routes, Services: services, Limits: limits, hosts: map[string][]*Route{}}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		r.hosts[host] = append(r.hosts[host], &routes[i])
	}
	for _, list := range r.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return r
}

// Match returns the route of a request, or nil if there is none. host has no port.
func (r *Routing) Match(host, path string) *Route {
	for _, route := range r.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}
