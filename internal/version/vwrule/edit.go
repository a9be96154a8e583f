package vwrule

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"unicode"

	"github.com/gravitational/trace"

	"vanillawind.example/vanillawind/pkg/vwid"
)

// editedFile is the name that faults show for a text that is edited without a file.
const editedFile = "rules"

// TakeOut returns the text with one more line at its end that takes a data centre out of service at the
// request of by. All other bytes stay. A text that already has the data centre out is returned as it is.
func TakeOut(text []byte, dataCentre vwid.DataCentre, by string) ([]byte, error) {
	if strings.TrimSpace(by) == "" || strings.ContainsFunc(by, unicode.IsControl) {
		return nil, trace.BadParameter("who takes %s out must be one line of text without control characters, not %q", dataCentre, by)
	}
	rules, err := parseDeclared(text, dataCentre)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if rules.IsOut(dataCentre) {
		return text, nil
	}
	end := lineEnd(text)
	edited := bytes.Clone(text)
	if !bytes.HasSuffix(text, []byte("\n")) {
		edited = append(edited, end...)
	}
	edited = fmt.Appendf(edited, "%s.%s = {} # %s%s", KindOut, dataCentre, strings.TrimSpace(by), end)
	// A text without faults has none after one more line for a declared data centre that is in service.
	return edited, checkSize(editedFile, edited)
}

// BringIn returns the text without the line that takes a data centre out of service. All other bytes
// stay. A text that does not have the data centre out is returned as it is.
func BringIn(text []byte, dataCentre vwid.DataCentre) ([]byte, error) {
	rules, err := parseDeclared(text, dataCentre)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	number := rules.lineOf(KindOut, string(dataCentre))
	if number == 0 {
		return text, nil
	}
	lines := slices.Collect(bytes.Lines(text))
	return bytes.Join(slices.Delete(lines, number-1, number), nil), nil
}

// parseDeclared parses the text and checks that it declares a data centre.
func parseDeclared(text []byte, dataCentre vwid.DataCentre) (*Rules, error) {
	rules, err := Parse(editedFile, text)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if !rules.dataCentres[dataCentre] {
		return nil, trace.NotFound("the rules declare no data centre %q; they declare %q", dataCentre, rules.DataCentres())
	}
	return rules, nil
}

// lineOf returns the line of a rule, or zero when there is none.
func (r *Rules) lineOf(kind Kind, named string) int {
	for _, rule := range r.rules {
		if rule.kind == kind && rule.names[0].text == named {
			return rule.line
		}
	}
	return 0
}

// lineEnd returns the line ending that the text uses.
func lineEnd(text []byte) string {
	if bytes.Contains(text, []byte("\r\n")) {
		return "\r\n"
	}
	return "\n"
}
