package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
)

// Put adds or replaces an instance on the platform's list, as the users' deployment tools do. Instances never call it.
func Put(platform string, en Entry) error {
	raw, err := json.Marshal(en)
	if err != nil {
		return err
	}
	return sendUpdate(http.MethodPut, platform, en.Name, raw)
}

// Remove removes an instance from the platform's list.
func Remove(platform, name string) error {
	return sendUpdate(http.MethodDelete, platform, name, nil)
}

func sendUpdate(method, platform, name string, raw []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+platform+PathInstances+"/"+name, bytes.NewReader(raw))
	if err != nil {
		return Unavailable.Wrap(err, "plat: the platform's address is invalid; give host:port")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Unavailable.Wrap(err, "plat: the platform at %s does not answer; start it first", platform)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Unavailable.New("plat: the platform at %s answered the change of its list with %s", platform, resp.Status)
	}
	return nil
}
