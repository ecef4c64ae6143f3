package stage2_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"oleandersill.example/oleandersill/platform/wire"
)

// network carries what daemons send each other and the store, so that one of them can be cut off. Each daemon gets a proxy before its
// port for peers, and one before the store. The entries that daemons write name the proxy in place of the port itself.
type network struct {
	fleet *fleet
	// isolated is the daemon that is cut off from the store and from all other daemons, or nil.
	isolated atomic.Pointer[daemon]
}

const (
	// proxyOffset is added to the last byte of a daemon's address for that of its proxy.
	proxyOffset = 100
	copyBytes   = 64 << 10
)

// attach puts the proxies before the daemon, which has not been started yet.
func (n *network) attach(d *daemon) error {
	if err := n.serveStore(d); err != nil {
		return err
	}
	l, err := net.Listen("tcp", d.proxy())
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.relay(c, d)
		}
	}()
	return nil
}

// proxy returns the address of the proxy before the daemon's port for peers.
func (d *daemon) proxy() string {
	last := strings.LastIndexByte(d.ip, '.') + 1
	var number int
	_, _ = fmt.Sscan(d.ip[last:], &number)
	return fmt.Sprintf("%s%d:%d", d.ip[:last], number+proxyOffset, peerPort)
}

// relay passes bytes on between a connection and the daemon's port for peers, except those of the daemon that is cut off. These are lost
// without a reset.
func (n *network) relay(caller net.Conn, to *daemon) {
	cut := func() bool {
		isolated := n.isolated.Load()
		return isolated != nil && (isolated == to || isolated.connected(caller))
	}
	if cut() {
		return
	}
	callee, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", to.ip, peerPort), time.Second)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0) //nolint:forcetypeassert // it was accepted from a TCP port
		_ = caller.Close()
		return
	}
	go copyUntilCut(caller, callee, cut)
	copyUntilCut(callee, caller, cut)
}

func copyUntilCut(to, from net.Conn, cut func() bool) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if cut() {
			return
		}
		if n > 0 {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// connected reports whether the process holds the other end of the connection.
func (d *daemon) connected(c net.Conn) bool {
	inode := socketInode(c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr)) //nolint:forcetypeassert // a TCP connection
	directory := fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)
	entries, _ := os.ReadDir(directory)
	for _, e := range entries {
		if target, _ := os.Readlink(directory + "/" + e.Name()); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}

// socketInode returns the inode of the socket with these addresses.
func socketInode(local, remote *net.TCPAddr) string {
	raw, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && fields[1] == hexAddress(local) && fields[2] == hexAddress(remote) {
			return fields[9]
		}
	}
	return ""
}

func hexAddress(a *net.TCPAddr) string {
	ip := a.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
}

// serveStore starts the daemon's proxy before the store.
func (n *network) serveStore(d *daemon) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.storeAddress = l.Addr().String()
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.isolated.Load() == d {
			<-r.Context().Done()
			return
		}
		if r.URL.Path == wire.PathTxn {
			announceProxy(r, d)
		}
		reply := httptest.NewRecorder()
		n.fleet.store.ServeHTTP(reply, r)
		if n.isolated.Load() == d {
			<-r.Context().Done()
			return
		}
		for name, values := range reply.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	})}
	go func() { _ = srv.Serve(l) }()
	return nil
}

// announceProxy replaces the address of the daemon's port for peers in what it writes by that of the proxy.
func announceProxy(r *http.Request, d *daemon) {
	raw, _ := io.ReadAll(r.Body)
	var txn map[string]any
	if json.Unmarshal(raw, &txn) == nil {
		writes, _ := txn["writes"].([]any)
		for _, w := range writes {
			replaceAddress(w, d)
		}
		raw, _ = json.Marshal(txn)
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(raw)), int64(len(raw))
}

func replaceAddress(write any, d *daemon) {
	fields, ok := write.(map[string]any)
	if !ok {
		return
	}
	var value struct{ Value []byte }
	if raw, err := json.Marshal(write); err != nil || json.Unmarshal(raw, &value) != nil {
		return
	}
	own := fmt.Sprintf("%s:%d", d.ip, peerPort)
	fields["value"] = bytes.ReplaceAll(value.Value, []byte(own), []byte(d.proxy()))
}
