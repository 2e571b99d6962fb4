package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"dandelionsail.example/dandelionsail/internal/conf"
	"dandelionsail.example/dandelionsail/internal/effect"
	"dandelionsail.example/dandelionsail/pkg/decl"
)

// Rights that an operator's request needs.
const (
	readOnly = false
	mayWrite = true
)

// maxPatch bounds a patch in bytes: it must fit into one value of the key-value service.
const maxPatch = 900 << 10

// bootstrapOperator is the author's name of patches under the bootstrap token.
const bootstrapOperator = "bootstrap"

// operatorHandler serves a request of a named operator.
type operatorHandler func(w http.ResponseWriter, req *http.Request, operator string)

// operator lets only operators through, and only those with the right to write where that is needed.
func (in *Instance) operator(write bool, handle operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		dir := in.config.Load()
		name, ok := in.findOperator(dir, req)
		if !ok {
			ae := unauthorized()
			ae.Message = "send an operator's token as Authorization: Bearer TOKEN"
			ae.write(w)
			return
		}
		if write && dir.cfg.Operators[name].ReadOnly {
			badRequest(http.StatusForbidden, "ReadOnly", "this operator may read only; ask another to submit the patch").write(w)
			return
		}
		handle(w, req, name)
	}
}

func (in *Instance) findOperator(dir *directory, req *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	digest := decl.TokenDigest(token)
	if name, ok := dir.operators[digest]; ok {
		return name, true
	}
	// The bootstrap token ends with the first version, so that it is no second way in for good.
	return bootstrapOperator, dir.cfg.Version == 0 && in.opts.Bootstrap == digest
}

func writeJSON(w http.ResponseWriter, status int, document any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(document)
}

func (in *Instance) serveReport(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, in.Meter.Report(time.Now(), in.opts.Name))
}

func (in *Instance) serveConfig(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, in.config.Load().cfg)
}

// servePatches lists the patches after the version that the query names.
func (in *Instance) servePatches(w http.ResponseWriter, req *http.Request, _ string) {
	var after int64
	if text := req.URL.Query().Get("after"); text != "" {
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil || parsed < 0 {
			badRequest(http.StatusBadRequest, "BadVersion", "after: give a version number").write(w)
			return
		}
		after = parsed
	}
	patches, err := in.conf.History(req.Context(), after)
	if err != nil {
		writePatchError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, patches)
}

// PatchAccepted answers a patch.
type PatchAccepted struct{ Version int64 }

// PatchRefused is an error of the operator API with the version that a stale patch should have named.
type PatchRefused struct {
	Code    string
	Message string
	// Newest is the newest version, 0 if the refusal has nothing to do with it.
	Newest int64
}

// submitPatch appends a patch to the configuration's log.
func (in *Instance) submitPatch(w http.ResponseWriter, req *http.Request, operator string) {
	var patch conf.Patch
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxPatch)).Decode(&patch); err != nil {
		writeJSON(w, http.StatusBadRequest, PatchRefused{Code: "MalformedPatch", Message: "send ID, Base and Operations as JSON: " + err.Error()})
		return
	}
	if patch.ID == "" {
		writeJSON(w, http.StatusBadRequest, PatchRefused{Code: "MalformedPatch", Message: "give the patch an ID of its own, and send it again under the same"})
		return
	}
	patch.Author = operator
	patch.At = time.Now().UTC()
	version, err := in.conf.Submit(req.Context(), patch)
	if err != nil {
		writePatchError(w, err)
		return
	}
	in.log.Info().Str("Author", operator).Str("Patch", patch.ID).Int64("Version", version).Msg("patch accepted")
	writeJSON(w, http.StatusCreated, PatchAccepted{Version: version})
}

func writePatchError(w http.ResponseWriter, err error) {
	refused := PatchRefused{Message: err.Error()}
	status := http.StatusServiceUnavailable
	switch {
	case errorx.IsOfType(err, conf.Stale):
		status = http.StatusConflict
		refused.Code = "StaleVersion"
		if newest, ok := errorx.ExtractProperty(err, conf.PropertyVersion); ok {
			refused.Newest, _ = newest.(int64)
		}
	case errorx.IsOfType(err, conf.Broken):
		status = http.StatusUnprocessableEntity
		refused.Code = "BrokenPatch"
	default:
		// Whether a patch landed is not known; its own id makes a repeat safe.
		refused.Code = "StoreUnavailable"
		refused.Message += "; send the same request again, a patch under the same ID"
		w.Header().Set(HeaderRan, string(effect.Unknown))
	}
	writeJSON(w, status, refused)
}
