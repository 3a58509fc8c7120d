// Package conf reads the settings of a program from a TOML file.
//
// A program describes its settings in a Table: key, type, unit, default,
// bounds and meaning. The same table fills the program's variables, checks
// the file and makes the documentation page.
package conf
