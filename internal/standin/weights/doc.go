// Package weights is a fake of the rate-limited store of model weights.
package weights
