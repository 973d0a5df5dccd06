package budget

// minConnections is the number of connections that each router may always open
// to an upstream: one in use while the next is opened.
const minConnections = 2

// MaxConnections returns how many connections each of the live routers may open
// to an upstream that accepts limit connections in total. 0 means no limit.
func MaxConnections(limit, routers int) int {
	if limit <= 0 {
		return 0
	}
	return max(minConnections, int(usableShare*float64(limit))/max(1, routers))
}
