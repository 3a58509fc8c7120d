// Package update decides which revision of the service text an entry has in
// force. It accepts revisions from control replicas and peers but never goes back
// to a lower one, and it determines when a started instance may serve.
package update
