// Package mesh manages the links of one process to other instances: links of the
// overlay that gossip uses, permanent links to control replicas, and links to the
// owners of targets, which are opened on demand.
package mesh
