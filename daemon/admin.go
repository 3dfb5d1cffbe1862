package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// adminTimeout bounds the header of a request to the administration API.
const adminTimeout = 5 * time.Second

func (d *Daemon) adminHandler() http.Handler {
	router := mux.NewRouter()
	router.Path("/v1/dump").Methods(http.MethodGet).HandlerFunc(d.serveDump)
	return router
}

// serveDump writes the state of every part.
func (d *Daemon) serveDump(w http.ResponseWriter, _ *http.Request) {
	dump := make(map[string]any, len(d.dumpers))
	for name, dumper := range d.dumpers {
		dump[name] = dumper.Dump()
	}
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(dump)
}
