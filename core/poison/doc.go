// Package poison recognises requests that crash the targets that run them.
package poison
