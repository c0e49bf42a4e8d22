package standing

// guessGain is the weight of the newest observation in the means.
const guessGain = 1.0 / 32

// Bounds of how much longer or shorter a turn is expected for its caller's guess.
const (
	shortestByGuess = 0.5
	longestByGuess  = 2.0
)

// guesses follows what callers' guesses of the tokens that a turn generates are worth: how far
// they are off, against how far the mean is.
type guesses struct {
	seen    int
	mean    float64 // of the tokens generated
	offMean float64 // squared distance from that
	offHint float64 // squared distance from the guess
}

// observe takes in what was guessed and what came.
func (g *guesses) observe(hint, tokens int) {
	if hint <= 0 || tokens <= 0 {
		return
	}
	g.seen++
	gain := max(guessGain, 1/float64(g.seen))
	fromMean, fromHint := float64(tokens)-g.mean, float64(tokens-hint)
	if g.seen > 1 {
		g.offMean += gain * (fromMean*fromMean - g.offMean)
		g.offHint += gain * (fromHint*fromHint - g.offHint)
	}
	g.mean += gain * fromMean
}

// factor is how much longer than usual a turn with this guess is expected to be.
func (g *guesses) factor(hint int) float64 {
	if hint <= 0 || g.seen < enoughSeen || g.offMean <= 0 {
		return 1
	}
	worth := max(0, 1-g.offHint/g.offMean)
	return min(max(1+worth*(float64(hint)/g.mean-1), shortestByGuess), longestByGuess)
}
