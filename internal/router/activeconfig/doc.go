// Package activeconfig holds the active configuration and the time at which the
// store last confirmed it. API keys are accepted only while the confirmation is
// recent.
package activeconfig
