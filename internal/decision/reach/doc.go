// Package reach judges whether a whole availability zone is unreachable, from calls to several of its servers and
// daemons that were not answered in time.
package reach
