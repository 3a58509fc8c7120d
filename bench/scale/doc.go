// Package scale measures how memory, processor time and network traffic grow
// with the size of the fleet. It simulates the gossip of a whole fleet in virtual
// time and measures the memory and the message sizes of single cores.
package scale
