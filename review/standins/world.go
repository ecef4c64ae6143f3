package main

import (
	"fmt"
	"os"
	"time"
)

// host is the host of all routes.
const host = "pupu76.example"

// World is a small deployment: a store, servers and daemons.
type World struct {
	Record  *Record
	Store   *Store
	Daemons []*Daemon
	Servers map[string]*Server
	// MaxConnections is how many connections each server accepts.
	MaxConnections int
	dir            string
	version        int
}

// NewWorld starts a store.
func NewWorld(record *Record) (*World, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	store, err := StartStore(record)
	if err != nil {
		return nil, err
	}
	return &World{Record: record, Store: store, Servers: map[string]*Server{}, MaxConnections: 110, dir: dir}, nil
}

// AddServer starts a server.
func (w *World) AddServer(id, service, zone string) (*Server, error) {
	s, err := StartServer(w.Record, w.Store, id, service, zone)
	if err == nil {
		w.Servers[id] = s
	}
	return s, err
}

// Route is a route of the configuration.
type Route map[string]any

// Configure writes the next version of the configuration.
func (w *World) Configure(routes []Route, services ...string) {
	w.version += 3
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/health", "max_connections": w.MaxConnections})
	}
	w.Store.Put("op/config", map[string]any{
		"version": w.version, "routes": routes, "services": list,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 5000, "idle_timeout_ms": 20000,
		},
	})
	w.Record.Printf("operator: version %d acknowledged", w.version)
}

// StartDaemons starts a daemon in each of the zones and waits until all are ready.
func (w *World) StartDaemons(zones ...string) error {
	ips, err := freeIPs(len(zones))
	if err != nil {
		return err
	}
	for i, ip := range ips {
		d, err := NewDaemon(w.Record, w.dir, fmt.Sprintf("front-%d", i+1), zones[i], ip, w.Store.Addr(), ips[:min(3, len(ips))])
		if err != nil {
			return err
		}
		if err := d.Start(); err != nil {
			return err
		}
		w.Daemons = append(w.Daemons, d)
	}
	until := time.Now().Add(10 * time.Second)
	for _, d := range w.Daemons {
		for !d.Ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", d.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes that were started.
func (w *World) Close() {
	for _, d := range w.Daemons {
		d.Kill()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}
