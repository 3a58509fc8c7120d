// Package value provides small generic value types.
package value
