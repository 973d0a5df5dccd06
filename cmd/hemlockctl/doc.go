// Command hemlockctl shows and changes the configuration of a fleet of
// hemlockd routers.
package main
