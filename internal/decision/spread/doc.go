// Package spread decides how daemons find each other and how a configuration reaches all of them: whom to exchange
// digests with, whom to tell of a new revision, whether to take an offered one, who watches the store for a zone, and
// which members are alive.
package spread
