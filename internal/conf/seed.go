package conf

import (
	"context"
	"encoding/json"
	"time"

	"dandelionsail.example/dandelionsail/internal/store"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Seed submits a whole configuration as version 1 to the key-value service at the address. It serves the demonstration,
// tests and experiments.
func Seed(ctx context.Context, address string, cfg *decl.Config) error {
	document, err := cfg.Document()
	if err != nil {
		return err
	}
	client := store.New(address)
	defer client.Close()
	operations := json.RawMessage(`[{"op":"replace","path":"","value":` + string(document) + `}]`)
	_, err = New(client).Submit(ctx, Patch{ID: "seed", Author: "seed", At: time.Now(), Operations: operations})
	return err
}
