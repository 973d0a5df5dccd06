// Package inifile reads settings files in INI: tables of fields with fallbacks
// and checks, and errors that name section, key, value and what is expected.
package inifile
