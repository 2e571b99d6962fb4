package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
)

// Put tells the platform of an instance, as the firm's own deployment tools do. An entry instance never calls it.
func Put(platform string, en Entry) error {
	raw, err := json.Marshal(en)
	if err != nil {
		return err
	}
	return change(http.MethodPut, platform, en.Name, raw)
}

// Remove takes an instance off the platform's list.
func Remove(platform, name string) error {
	return change(http.MethodDelete, platform, name, nil)
}

func change(method, platform, name string, raw []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+platform+PathInstances+"/"+name, bytes.NewReader(raw))
	if err != nil {
		return Unavailable.Wrap(err, "plat: the address does not parse; give host:port")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Unavailable.Wrap(err, "plat: the platform at %s does not answer; start it first", platform)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Unavailable.New("plat: the platform at %s answered %s", platform, resp.Status)
	}
	return nil
}
