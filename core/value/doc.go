// Package value provides the generic types Option and Set.
package value
