package fault

import (
	"encoding/json"
	"net/http"
)

// Paths of the control API.
const (
	// PathFaults sets the active faults by PUT and returns them by GET, as JSON.
	PathFaults = "/faults"
	// PathSilence makes all open connections silent by POST, see Proxy.Silence.
	PathSilence = "/silence"
	// PathCut closes all open connections by POST.
	PathCut = "/cut"
	// PathCounts returns the counts by GET, as JSON.
	PathCounts = "/counts"
)

// Control returns the handler of the HTTP API that changes faults while the proxy runs.
func (px *Proxy) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, px.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, px.putFaults)
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, px.Counts()) })
	mux.HandleFunc("POST "+PathSilence, func(http.ResponseWriter, *http.Request) { px.Silence() })
	mux.HandleFunc("POST "+PathCut, func(http.ResponseWriter, *http.Request) { px.Cut() })
	return mux
}

func writeJSON(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

func (px *Proxy) putFaults(w http.ResponseWriter, req *http.Request) {
	var fs Faults
	decoder := json.NewDecoder(req.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&fs)
	if err == nil {
		err = px.Set(fs)
	}
	if err != nil {
		http.Error(w, "fault: "+err.Error(), http.StatusBadRequest)
	}
}
