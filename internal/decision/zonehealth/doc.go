// Package zonehealth decides whether a whole availability zone is unreachable, based on calls to several of its servers and
// daemons that were not answered in time.
package zonehealth
