// Package mesh holds the links of one process by the instance at their other
// end: the overlay that gossip runs on, links kept to control replicas, and
// links opened on demand to the owners of targets.
package mesh
