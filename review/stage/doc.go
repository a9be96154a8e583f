//go:build review

// Command stage plays the cases of the independent review. It starts the programs of the deploy file as processes on
// loopback addresses and plays the platform, the operator, the clients and the workers around them. It is built by
// review/build.sh only: the build tag keeps it out of the default build and test run.
package main
