package server

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/cloverwheel/cloverwheel/internal/quarantine"
)

// QuarantinePath lists the quarantined work at the metrics address. A DELETE of a key under it releases the work on all nodes.
const QuarantinePath = "/quarantine"

// quarantinedWork is one key as it is listed for operators.
type quarantinedWork struct {
	Key              string  `json:"key"`
	Ends             int     `json:"ends"`                  // workers that ended one after the other
	Trials           int     `json:"trials"`                // of these, those that ended in trials after a quarantine
	LastEndSeconds   float64 `json:"last_end_seconds"`      // since the last of them ended
	NextTrialSeconds float64 `json:"next_trial_in_seconds"` // until one worker may try the work
}

// operatorHandler serves the metrics and the quarantine.
func (s *Server) operatorHandler() http.Handler {
	router := mux.NewRouter()
	router.Handle(MetricsPath, s.options.Metrics.Handler())
	router.HandleFunc(QuarantinePath, s.listQuarantine).Methods(http.MethodGet)
	router.HandleFunc(QuarantinePath+"/{key}", s.releaseQuarantine).Methods(http.MethodDelete)
	return router
}

func (s *Server) listQuarantine(out http.ResponseWriter, _ *http.Request) {
	listed := []quarantinedWork{}
	for _, entry := range s.quarantine.Quarantined() {
		listed = append(listed, quarantinedWork{
			Key: entry.Key.String(), Ends: int(entry.State.Ends), Trials: int(entry.State.Trials),
			LastEndSeconds: entry.Age.Seconds(), NextTrialSeconds: max(0, entry.State.Period()-entry.Age).Truncate(time.Millisecond).Seconds(),
		})
	}
	out.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(out).Encode(listed); err != nil {
		s.options.Logger.WithError(err).Warn("cannot send the list of quarantined work; the operator's connection may have ended")
	}
}

func (s *Server) releaseQuarantine(out http.ResponseWriter, r *http.Request) {
	text := mux.Vars(r)["key"]
	number, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		http.Error(out, "the key "+strconv.Quote(text)+" is not a hexadecimal number; copy it from the list or from a log line", http.StatusBadRequest)
		return
	}
	if !s.quarantine.Release(quarantine.Key(number)) {
		http.Error(out, "no worker has ended under the key "+strconv.Quote(text)+" lately; see the list for the keys that can be released", http.StatusNotFound)
		return
	}
	s.options.Logger.WithField("key", text).Info("an operator released quarantined work; it may be sent to workers again")
	out.WriteHeader(http.StatusNoContent)
}
