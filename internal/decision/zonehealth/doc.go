// Package zonehealth decides whether a whole availability zone is unreachable, based on calls to several of its servers and
// daemons that got no reply in time.
package zonehealth
