// Package settings reads the daemon's own settings from YAML.
package settings
