package conf

import (
	"testing"

	"dandelionsail.example/dandelionsail/pkg/decl"
)

// FuzzStored passes arbitrary stored bytes to every decoder. None may panic; a decoded snapshot must have a version,
// and an applied patch must raise the version by one.
func FuzzStored(f *testing.F) {
	f.Add([]byte(`{"ID":"x","Base":1,"Operations":[{"op":"add","path":"/Organisations/a","value":{}}]}`))
	f.Add([]byte(`{"Config":{"Version":3},"Landed":[{"Version":3,"ID":"x"}]}`))
	f.Add([]byte(`{"Version":3,"Sections":[{"Key":"k","Digest":1}]}`))
	f.Add([]byte(`{"Operations":[{"op":"move","path":"/Organisations/~2","from":"/Services"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if sn, err := decodeSnapshot(raw); err == nil && sn.version() <= 0 {
			t.Fatal("decoded a snapshot without a version")
		}
		_, _ = decodeManifest(raw)
		patch, err := decodePatch(raw)
		if err != nil {
			return
		}
		if cfg, err := Apply(&decl.Config{Version: 1}, patch); err == nil && cfg.Version != 2 {
			t.Fatal("applying a patch did not raise the version by one")
		}
	})
}
