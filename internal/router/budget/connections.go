package budget

// minConnections is what each router may open to an upstream in any case; one
// connection is in use while the next is made.
const minConnections = 2

// MaxConnections returns how many connections one of the live routers may open to
// an upstream that accepts a number from all callers, 0 for no limit.
func MaxConnections(limit, routers int) int {
	if limit <= 0 {
		return 0
	}
	return max(minConnections, int(usableShare*float64(limit))/max(1, routers))
}
