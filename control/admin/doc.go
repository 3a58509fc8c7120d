// Package admin is the administration interface of a control replica.
package admin
