package conf_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/galenalock/galenalock/core/conf"
)

// Guards against a replacement that removes or duplicates the section of another
// program.
func TestReplaceSectionKeepsOtherSections(t *testing.T) {
	is := is.New(t)
	var one, two string
	a, b := &conf.Table{}, &conf.Table{}
	a.Text("one", &one, "", "help")
	b.Text("two", &two, "", "help")
	page := conf.ReplaceSection(conf.ReplaceSection("# Settings\n", "a", a), "b", b)
	is.Equal(conf.ReplaceSection(page, "a", a), page)
	is.Equal(conf.ReplaceSection(page, "b", b), page)
	is.Equal(strings.Count(page, "`one`"), 1)
	is.Equal(strings.Count(page, "`two`"), 1)
}
