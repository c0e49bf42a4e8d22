package template

// pricedTokens is the number of tokens that a price is for.
const pricedTokens = 1_000_000

// effectiveBudget returns the budget with its money as a bound on tokens, at the
// dearest price. Money without prices, which validation refuses, allows nothing.
func (c *compactTenant) effectiveBudget() Budget {
	budget := c.budget
	if budget.Money <= 0 {
		return budget
	}
	var dearest float64
	for _, p := range c.prices {
		dearest = max(dearest, p.price)
	}
	affordable := int64(1)
	if dearest > 0 {
		affordable = max(affordable, int64(budget.Money/dearest*pricedTokens))
	}
	if budget.Tokens == 0 || affordable < budget.Tokens {
		budget.Tokens = affordable
	}
	return budget
}
