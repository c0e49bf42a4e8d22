package server

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cloverwheel/cloverwheel/internal/evacuation"
	"github.com/cloverwheel/cloverwheel/internal/staleness"
)

// Guards against a peer's proof looking newer than it is: its age counts from when the request
// was sent, plus the age stated by the peer.
func TestPeerProofAgeIncludesRoundTrip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVerifier(Options{Settings: Settings{RevokeWithin: 5 * time.Second}}, evacuation.New(nil))
		v.fresh.SetActive(7)
		sent := time.Now()
		time.Sleep(time.Second) // network time of the answer
		v.adoptProof(staleness.Proof{Revision: 7, Age: 3 * time.Second}, sent)
		age, fresh := v.fresh.Age()
		require.Equal(t, 4*time.Second, age)
		require.True(t, fresh)
		v.adoptProof(staleness.Proof{}, time.Now())
		age, _ = v.fresh.Age()
		require.Equal(t, 4*time.Second, age, "an empty proof changes nothing")
	})
}
