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

// Permissions that a request to the operator API requires.
const (
	readOnly = false
	mayWrite = true
)

// maxPatch is the maximum size of a patch in bytes: a patch must fit into one value of the key-value service.
const maxPatch = 900 << 10

// bootstrapOperator is the author recorded for patches that are submitted with the bootstrap token.
const bootstrapOperator = "bootstrap"

// operatorHandler serves a request of the authenticated operator.
type operatorHandler func(w http.ResponseWriter, req *http.Request, operator string)

// operator wraps a handler with the authentication of operators. If write is set, operators that may only read are refused.
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
	// The bootstrap token is valid only until the first version is in force; otherwise it would remain a permanent second
	// credential.
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

// servePatches lists the patches after the version given in the query parameter "after".
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

// PatchAccepted is the answer to an accepted patch.
type PatchAccepted struct{ Version int64 }

// PatchRefused is the answer to a refused patch or a failed read of the patches.
type PatchRefused struct {
	Code    string
	Message string
	// Newest is the newest version, on which a stale patch must be based; 0 for other errors.
	Newest int64
}

// submitPatch appends the operator's patch to the configuration's log.
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
		// The patch may have been stored or not. Its ID makes it safe to submit it again.
		refused.Code = "StoreUnavailable"
		refused.Message += "; send the same request again, a patch under the same ID"
		w.Header().Set(HeaderRunState, string(effect.Unknown))
	}
	writeJSON(w, status, refused)
}
