// Package conf reads the settings of a program from a TOML file.
//
// A program describes its settings in a Table: key, type, unit, default, bounds
// and description. The table is used to set the program's variables, to validate
// the file and to generate the documentation and a sample file.
package conf
