package budget

// leastConnections is what each router may open to an upstream in any case; one
// connection is in use while the next is made.
const leastConnections = 2

// Connections returns how many connections one of the live routers may open to
// an upstream that accepts a number from all callers, 0 for no limit.
func Connections(accepted, routers int) int {
	if accepted <= 0 {
		return 0
	}
	return max(leastConnections, int(spare*float64(accepted))/max(1, routers))
}
