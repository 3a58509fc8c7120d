// Package scale measures how memory, processor time and bytes on the wire grow
// with the size of the fleet, on stepped cores and on the cores of one instance.
package scale
