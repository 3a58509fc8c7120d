// Package meter sets up OpenTelemetry metrics with a Prometheus endpoint.
package meter
