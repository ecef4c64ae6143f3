package configdoc_test

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/configdoc"
)

// FuzzDecodeRoot guards against a stored value that makes a daemon panic, whose error is not recognised as corruption,
// or that changes when it is decoded and stored again, which would break the chain of hashes.
func FuzzDecodeRoot(f *testing.F) {
	root := configdoc.Root{
		Revision: 3, Parts: map[configdoc.PartName]configdoc.Hash{"rules": configdoc.HashOf([]byte("x"))},
		Editor: "ana", TimeMs: 1, Reason: "more servers", Previous: "00",
	}
	f.Add(root.Encode())
	f.Add([]byte(`{}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"revision":-1}`))
	f.Add([]byte(`{"revision":18446744073709551616}`))
	f.Add([]byte(`{"parts":{"fleet":null}}`))
	f.Add([]byte("{\"editor\":\"\xff\"}"))
	f.Add([]byte(`{"revision":1}{}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		root, err := configdoc.DecodeRoot(value)
		if err != nil {
			if !errors.Is(err, configdoc.ErrCorrupt) {
				t.Fatalf("error is not ErrCorrupt: %v", err)
			}
			return
		}
		encoded := root.Encode()
		again, err := configdoc.DecodeRoot(encoded)
		if err != nil {
			t.Fatalf("own encoding is rejected: %v", err)
		}
		if !bytes.Equal(again.Encode(), encoded) {
			t.Fatalf("encoding is not stable: %q, then %q", encoded, again.Encode())
		}
		if _, _, err := configdoc.Join(root, func(configdoc.Hash) []byte { return value }); err == nil {
			t.Fatal("joined a configuration whose parts do not match their hashes")
		}
	})
}
