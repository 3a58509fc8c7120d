// Package update decides which revision of the service text an entry has in
// force: it takes revisions from control replicas and peers, never a lower
// one, and says when a started instance knows enough to serve.
package update
