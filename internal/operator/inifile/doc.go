// Package inifile reads INI settings files by tables of fields, each with a default
// value and a validation. Its errors name the section, key, value and what is
// expected.
package inifile
