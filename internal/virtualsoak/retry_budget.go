package virtualsoak

// Retry budget of a gateway: each retry takes a token, and each request earns a part of one.
const (
	maxRetryTokens        = 10.0
	retryTokensPerRequest = 0.2
	tokenTolerance        = 1e-6 // allows for rounding errors
)

// retryBudget is the token bucket that bounds the retries of a gateway.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryTokens} }

// earn adds the tokens of a request.
func (b *retryBudget) earn() { b.tokens = min(maxRetryTokens, b.tokens+retryTokensPerRequest) }

// spend takes the token of a retry and reports whether there was one.
func (b *retryBudget) spend() bool {
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens--
	return true
}
