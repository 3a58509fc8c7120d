// Package value provides the generic types Latest, Option and Set.
package value
