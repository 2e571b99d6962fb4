package fault

import (
	"encoding/json"
	"net/http"
)

// Paths of the control API.
const (
	// PathFaults takes the faults to put in force by PUT and gives those in force by GET, as JSON.
	PathFaults = "/faults"
	// PathSilence silences all open connections by POST.
	PathSilence = "/silence"
	// PathCut closes all open connections by POST.
	PathCut = "/cut"
	// PathCounts gives the counts by GET.
	PathCounts = "/counts"
)

// Control serves the API by which faults are set while the proxy runs.
func (px *Proxy) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { answer(w, px.Faults()) })
	mux.HandleFunc("PUT "+PathFaults, px.put)
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { answer(w, px.Counts()) })
	mux.HandleFunc("POST "+PathSilence, func(http.ResponseWriter, *http.Request) { px.Silence() })
	mux.HandleFunc("POST "+PathCut, func(http.ResponseWriter, *http.Request) { px.Cut() })
	return mux
}

func answer(w http.ResponseWriter, document any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(document)
}

func (px *Proxy) put(w http.ResponseWriter, req *http.Request) {
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
