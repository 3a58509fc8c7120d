package conf

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Row describes one setting.
type Row struct {
	Key      string
	Type     string
	Default  string // as a TOML literal
	Bounds   string
	Help     string
	Required bool

	set func(value any) string // returns the reason why the value is invalid, or ""
}

// Table is the list of a program's settings.
type Table struct {
	rows []Row
}

// Rows returns a copy of the rows in the order in which they were added.
func (t *Table) Rows() []Row { return slices.Clone(t.rows) }

func (t *Table) add(r Row) { t.rows = append(t.rows, r) }

// Text adds a string setting. If allowed values are given, the value must be one
// of them.
func (t *Table) Text(key string, dst *string, def, help string, allowed ...string) {
	*dst = def
	t.add(Row{
		Key: key, Type: "string", Default: strconv.Quote(def), Bounds: strings.Join(allowed, ", "), Help: help,
		set: func(value any) string {
			s, ok := value.(string)
			if !ok {
				return "must be a string"
			}
			if len(allowed) > 0 && !slices.Contains(allowed, s) {
				return fmt.Sprintf("%q is none of %s", s, strings.Join(allowed, ", "))
			}
			*dst = s
			return ""
		},
	})
}

// Name adds a required setting that is an identifier.
func (t *Table) Name(key string, dst *string, help string) {
	t.add(Row{
		Key: key, Type: "name", Bounds: "1 to 64 of a-z, 0-9, hyphen, dot", Help: help, Required: true,
		set: func(value any) string {
			s, ok := value.(string)
			if !ok {
				return "must be a string"
			}
			if s == "" || len(s) > 64 || strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-.") != "" {
				return fmt.Sprintf("%q is not 1 to 64 of a-z, 0-9, hyphen, dot", s)
			}
			*dst = s
			return ""
		},
	})
}

// Int adds an integer setting in the range from low to high.
func (t *Table) Int(key string, dst *int, def, low, high int, unit, help string) {
	*dst = def
	t.add(Row{
		Key: key, Type: "integer (" + unit + ")", Default: strconv.Itoa(def), Bounds: fmt.Sprintf("%d to %d", low, high), Help: help,
		set: func(value any) string {
			n, ok := value.(int64)
			if !ok {
				return "must be a whole number"
			}
			if n < int64(low) || n > int64(high) {
				return fmt.Sprintf("%d lies outside %d to %d", n, low, high)
			}
			*dst = int(n)
			return ""
		},
	})
}

// Float adds a numeric setting in the range from low to high.
func (t *Table) Float(key string, dst *float64, def, low, high float64, unit, help string) {
	*dst = def
	t.add(Row{
		Key: key, Type: "number (" + unit + ")", Default: fmt.Sprint(def), Bounds: fmt.Sprintf("%g to %g", low, high), Help: help,
		set: func(value any) string {
			var f float64
			switch v := value.(type) {
			case int64:
				f = float64(v)
			case float64:
				f = v
			default:
				return "must be a number"
			}
			if math.IsNaN(f) || f < low || f > high {
				return fmt.Sprintf("%g lies outside %g to %g", f, low, high)
			}
			*dst = f
			return ""
		},
	})
}

// Bool adds a boolean setting.
func (t *Table) Bool(key string, dst *bool, def bool, help string) {
	*dst = def
	t.add(Row{
		Key: key, Type: "boolean", Default: strconv.FormatBool(def), Help: help,
		set: func(value any) string {
			b, ok := value.(bool)
			if !ok {
				return "must be true or false"
			}
			*dst = b
			return ""
		},
	})
}

// Duration adds a setting that is a duration such as "10s", in the range from low
// to high.
func (t *Table) Duration(key string, dst *time.Duration, def, low, high time.Duration, help string) {
	*dst = def
	t.add(Row{
		Key: key, Type: "duration", Default: strconv.Quote(def.String()), Bounds: fmt.Sprintf("%s to %s", low, high), Help: help,
		set: func(value any) string {
			s, ok := value.(string)
			if !ok {
				return `must be a duration such as "10s"`
			}
			d, err := time.ParseDuration(s)
			if err != nil {
				return fmt.Sprintf(`%q is no duration such as "10s"`, s)
			}
			if d < low || d > high {
				return fmt.Sprintf("%s lies outside %s to %s", d, low, high)
			}
			*dst = d
			return ""
		},
	})
}

// Address adds a setting that is an IP address with a port. It is required if def
// is empty.
func (t *Table) Address(key string, dst *netip.AddrPort, def, help string) {
	r := addressRow(key, dst, help)
	r.Required = def == ""
	if def != "" {
		*dst = netip.MustParseAddrPort(def)
		r.Default = strconv.Quote(def)
	}
	t.add(r)
}

// OptionalAddress adds an optional setting that is an IP address with a port.
func (t *Table) OptionalAddress(key string, dst *netip.AddrPort, help string) {
	r := addressRow(key, dst, help)
	r.Default = "none"
	t.add(r)
}

func addressRow(key string, dst *netip.AddrPort, help string) Row {
	return Row{
		Key: key, Type: "address", Bounds: "IP address and port, such as 10.0.0.1:7000", Help: help,
		set: func(value any) string {
			s, ok := value.(string)
			if !ok {
				return "must be a string"
			}
			a, err := netip.ParseAddrPort(s)
			if err != nil {
				return fmt.Sprintf("%q is no IP address with a port", s)
			}
			*dst = a
			return ""
		},
	}
}

// Addresses adds a setting that is a list of distinct addresses. If it is
// required, the list must not be empty.
func (t *Table) Addresses(key string, dst *[]netip.AddrPort, required bool, help string) {
	t.add(Row{
		Key: key, Type: "list of addresses", Default: "[]", Bounds: "IP addresses with ports, each once", Help: help, Required: required,
		set: func(value any) string {
			items, reason := stringList(value)
			if reason != "" {
				return reason
			}
			if required && len(items) == 0 {
				return "is empty"
			}
			out := make([]netip.AddrPort, 0, len(items))
			for _, s := range items {
				a, err := netip.ParseAddrPort(s)
				if err != nil {
					return fmt.Sprintf("%q is no IP address with a port", s)
				}
				if slices.Contains(out, a) {
					return fmt.Sprintf("%q is listed twice", s)
				}
				out = append(out, a)
			}
			*dst = out
			return ""
		},
	})
}

// Replicas adds a setting that maps replica numbers to addresses, written as a
// list such as ["1=10.0.0.1:7000"].
func (t *Table) Replicas(key string, dst *map[uint64]netip.AddrPort, help string) {
	t.add(Row{
		Key: key, Type: "list of replicas", Bounds: `number and address, such as "1=10.0.0.1:7000", each once`, Default: "[]", Help: help,
		set: func(value any) string {
			items, reason := stringList(value)
			if reason != "" {
				return reason
			}
			out := make(map[uint64]netip.AddrPort, len(items))
			for _, s := range items {
				id, address, _ := strings.Cut(s, "=")
				n, err := strconv.ParseUint(id, 10, 32)
				a, addrErr := netip.ParseAddrPort(address)
				if err != nil || addrErr != nil || n == 0 {
					return fmt.Sprintf(`%q is no replica such as "1=10.0.0.1:7000"`, s)
				}
				if _, ok := out[n]; ok {
					return fmt.Sprintf("replica %d is listed twice", n)
				}
				out[n] = a
			}
			*dst = out
			return ""
		},
	})
}

// Pairs adds a setting that maps strings to strings, written as a list such as
// ["salish-1=salish"].
func (t *Table) Pairs(key string, dst *map[string]string, help string) {
	t.add(Row{
		Key: key, Type: "list of pairs", Default: "[]", Bounds: `two words, such as "salish-1=salish", the first ones unique`, Help: help,
		set: func(value any) string {
			items, reason := stringList(value)
			if reason != "" {
				return reason
			}
			out := make(map[string]string, len(items))
			for _, s := range items {
				first, second, ok := strings.Cut(s, "=")
				if !ok || first == "" || second == "" {
					return fmt.Sprintf(`%q is no pair such as "salish-1=salish"`, s)
				}
				if _, duplicate := out[first]; duplicate {
					return fmt.Sprintf("%q is listed twice", first)
				}
				out[first] = second
			}
			*dst = out
			return ""
		},
	})
}

func stringList(value any) ([]string, string) {
	list, ok := value.([]any)
	if !ok {
		return nil, "must be a list of strings"
	}
	out := make([]string, 0, len(list))
	for _, v := range list {
		s, ok := v.(string)
		if !ok {
			return nil, "must be a list of strings"
		}
		out = append(out, s)
	}
	return out, ""
}
