package scheduling

// minHintGain is the smallest weight of a new observation in the moving averages.
const minHintGain = 1.0 / 32

// Bounds of the factor by which a hint scales the expected duration of a turn.
const (
	minHintFactor = 0.5
	maxHintFactor = 2.0
)

// hintStats measures how well callers' hints predict the number of tokens that a turn generates: it
// compares the mean squared error of the hints with that of the plain mean.
type hintStats struct {
	seen      int
	mean      float64 // of tokens generated per turn
	meanError float64 // mean squared error of mean as a prediction
	hintError float64 // mean squared error of the hint as a prediction
}

// observe records a turn's hint and the tokens that it generated. Turns without either are ignored.
func (h *hintStats) observe(hint, tokens int) {
	if hint <= 0 || tokens <= 0 {
		return
	}
	h.seen++
	gain := max(minHintGain, 1/float64(h.seen))
	fromMean, fromHint := float64(tokens)-h.mean, float64(tokens-hint)
	if h.seen > 1 {
		h.meanError += gain * (fromMean*fromMean - h.meanError)
		h.hintError += gain * (fromHint*fromHint - h.hintError)
	}
	h.mean += gain * fromMean
}

// factor returns by how much a hint scales the expected duration of a turn. It is 1 if the hint is
// missing, if there are too few observations, or if hints predict no better than the mean.
func (h *hintStats) factor(hint int) float64 {
	if hint <= 0 || h.seen < minObservations || h.meanError <= 0 {
		return 1
	}
	weight := max(0, 1-h.hintError/h.meanError)
	return min(max(1+weight*(float64(hint)/h.mean-1), minHintFactor), maxHintFactor)
}
