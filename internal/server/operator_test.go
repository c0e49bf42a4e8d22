package server

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/quarantine"
)

// Guards against operators who cannot see or release quarantined work, or who release the wrong one.
func TestOperatorsSeeAndReleaseQuarantinedWork(t *testing.T) {
	s := &Server{quarantine: quarantine.NewTracker(), options: Options{Metrics: NewMetrics(), Logger: &log.Logger{Handler: discard.New()}}}
	keys := quarantine.KeysOf(quarantine.Work{Host: "h"})
	for range quarantine.MaxEnds {
		s.quarantine.RecordEnd(keys, s.quarantine.Evidence(keys))
	}
	call := func(method, path string) *httptest.ResponseRecorder {
		answer := httptest.NewRecorder()
		s.operatorHandler().ServeHTTP(answer, httptest.NewRequest(method, path, nil))
		return answer
	}
	var listed []quarantinedWork
	require.NoError(t, json.Unmarshal(call(http.MethodGet, QuarantinePath).Body.Bytes(), &listed))
	require.Len(t, listed, 1)
	require.Equal(t, quarantine.MaxEnds, listed[0].Ends)
	require.Positive(t, listed[0].NextTrialSeconds)
	require.Equal(t, http.StatusBadRequest, call(http.MethodDelete, QuarantinePath+"/x").Code)
	require.Equal(t, http.StatusNotFound, call(http.MethodDelete, QuarantinePath+"/1").Code)
	require.True(t, s.quarantine.Evidence(keys).Quarantined())
	require.Equal(t, http.StatusNoContent, call(http.MethodDelete, QuarantinePath+"/"+listed[0].Key).Code)
	require.False(t, s.quarantine.Evidence(keys).Suspect())
	require.Equal(t, http.StatusOK, call(http.MethodGet, MetricsPath).Code)
}
