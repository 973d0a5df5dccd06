// Package partstore keeps the quarantined prompt parts in the platform's store, so
// that they outlast a loss of all routers. Routers that go on learn of them from each
// other.
package partstore
