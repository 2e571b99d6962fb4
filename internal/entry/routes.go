package entry

import (
	"encoding/json"
	"net/http"
)

func (in *Instance) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", in.completions)
	mux.HandleFunc("POST /v1/chat/completions", in.completions)
	mux.HandleFunc("GET /v1/models", in.models)
	mux.HandleFunc("GET /healthz", in.healthz)
	mux.HandleFunc("GET /readyz", in.readyz)
	mux.HandleFunc("GET /operator/v1/status", in.operator(readOnly, in.serveStatus))
	mux.HandleFunc("GET /operator/v1/report", in.operator(readOnly, in.serveReport))
	mux.HandleFunc("GET /operator/v1/config", in.operator(readOnly, in.serveConfig))
	mux.HandleFunc("GET /operator/v1/config/patches", in.operator(readOnly, in.servePatches))
	mux.HandleFunc("POST /operator/v1/config/patches", in.operator(mayWrite, in.submitPatch))
	mux.HandleFunc("/", in.plainService)
	return mux
}

func (in *Instance) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (in *Instance) readyz(w http.ResponseWriter, _ *http.Request) {
	if !in.ready() {
		http.Error(w, "not ready: no configuration in force, no upstreams listed, or draining", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (in *Instance) models(w http.ResponseWriter, req *http.Request) {
	dir := in.config.Load()
	name, ok := dir.organisation(req)
	if !ok {
		unauthorized().write(w)
		return
	}
	org := dir.cfg.Organisations[name]
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range dir.modelNames {
		if org.MayUse(dir.models[model]) {
			list.Data = append(list.Data, modelEntry{ID: model, Object: "model", OwnedBy: dir.models[model]})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func unauthorized() *apiError {
	ae := badRequest(http.StatusUnauthorized, "Unauthorized", "send the organisation's token as Authorization: Bearer TOKEN")
	ae.Type = "authentication_error"
	return ae
}
