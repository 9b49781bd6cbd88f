package parser

import (
	"bytes"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/kingcupstile/kingcupstile/protocol/normalizer"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// MaxFileBytes is the size of the largest file that is accepted.
const MaxFileBytes = 256 << 10

// MaxDepth is the number of levels to which objects and arrays may be nested.
const MaxDepth = 32

var durationType = reflect.TypeFor[time.Duration]()

// decoder fills a struct from one file and collects the mistakes found in the file.
type decoder struct {
	file     string
	text     []byte
	mistakes MistakeErrors
}

// Decode fills the struct that into points to, or returns an Error whose cause is a MistakeErrors. Field tags give the
// key (`json`), the allowed strings (`oneof`) and the smallest number or duration (`min`); `need` marks a key as
// required and describes its value.
func Decode(file string, text []byte, into any) error {
	d := &decoder{file: file, text: text}
	if len(text) > MaxFileBytes {
		d.addMistake(0, "", KindWrongValue, "a file of at most "+strconv.Itoa(MaxFileBytes)+" bytes")
		return d.err()
	}
	if offset, deep := findExcessDepth(text); deep {
		d.addMistake(offset, "", KindSyntax, "at most "+strconv.Itoa(MaxDepth)+" levels")
		return d.err()
	}
	value, err := hujson.Parse(text)
	if err != nil {
		d.addSyntaxError(err)
		return d.err()
	}
	d.decodeValue(&value, reflect.ValueOf(into).Elem(), "", "")
	return d.err()
}

func (d *decoder) err() error {
	if len(d.mistakes) == 0 {
		return nil
	}
	slices.SortStableFunc(d.mistakes, func(a, b Mistake) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return fault.New("parse "+d.file, d.mistakes[0].Kind, d.mistakes)
}

// findExcessDepth returns the offset at which nesting exceeds MaxDepth, and whether it does. It runs before the
// recursive parser, which must not see such text; brackets inside strings are counted as well.
func findExcessDepth(text []byte) (int, bool) {
	depth := 0
	for i, c := range text {
		switch c {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return i, true
		}
	}
	return 0, false
}

// addSyntaxError adds a mistake at the line and column that the text of a hujson error names.
func (d *decoder) addSyntaxError(err error) {
	line, column := 1, 1
	text := err.Error()
	if _, after, ok := strings.Cut(text, "line "); ok {
		number, rest, _ := strings.Cut(after, ",")
		line, _ = strconv.Atoi(number)
		if _, after, ok = strings.Cut(rest, "column "); ok {
			number, text, _ = strings.Cut(after, ":")
			column, _ = strconv.Atoi(number)
		}
	}
	d.mistakes = append(d.mistakes, Mistake{
		File: d.file, Line: line, Column: column, Kind: KindSyntax,
		Want: strings.TrimSpace(strings.TrimPrefix(text, "hujson: ")),
	})
}

// addMistake adds a mistake at a byte offset in the file.
func (d *decoder) addMistake(offset int, key string, kind Kind, want string) {
	offset = min(offset, len(d.text))
	before := d.text[:offset]
	d.mistakes = append(d.mistakes, Mistake{
		File:   d.file,
		Line:   1 + bytes.Count(before, []byte{'\n'}),
		Column: offset - bytes.LastIndexByte(before, '\n'),
		Key:    key,
		Kind:   kind,
		Want:   want,
	})
}

func (d *decoder) decodeValue(v *hujson.Value, into reflect.Value, key string, tag reflect.StructTag) {
	switch {
	case into.Type() == durationType:
		d.decodeDuration(v, into, key, tag)
	case into.Kind() == reflect.Struct:
		d.decodeObject(v, into, key)
	case into.Kind() == reflect.Slice:
		d.decodeArray(v, into, key, tag)
	case into.Kind() == reflect.String:
		d.decodeString(v, into, key, tag)
	case into.Kind() == reflect.Bool:
		d.decodeBool(v, into, key)
	case into.CanInt():
		d.decodeInteger(v, into, key, tag)
	case into.CanFloat():
		d.decodeFloat(v, into, key, tag)
	}
}

func (d *decoder) decodeObject(v *hujson.Value, into reflect.Value, key string) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addMistake(v.StartOffset, key, KindWrongType, "an object { … }")
		return
	}
	seen := map[string]bool{}
	for i := range o.Members {
		name := o.Members[i].Name.Value.(hujson.Literal).String()
		offset := o.Members[i].Name.StartOffset
		index, known := fieldIndex(into.Type(), name)
		switch {
		case !known:
			d.addMistake(offset, name, KindUnknownKey, "one of "+strings.Join(fieldKeys(into.Type()), ", "))
			continue
		case seen[name]:
			d.addMistake(offset, name, KindDuplicate, "each key once")
			continue
		}
		seen[name] = true
		d.decodeValue(&o.Members[i].Value, into.Field(index), name, into.Type().Field(index).Tag)
	}
	for i := range into.NumField() {
		f := into.Type().Field(i)
		if f.Tag.Get("need") != "" && !seen[f.Tag.Get("json")] {
			d.addMistake(v.StartOffset, f.Tag.Get("json"), KindMissingKey, "it must be given: "+f.Tag.Get("need"))
		}
	}
}

func fieldIndex(t reflect.Type, key string) (int, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == key {
			return i, true
		}
	}
	return 0, false
}

func fieldKeys(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("json")
	}
	return names
}

func (d *decoder) decodeArray(v *hujson.Value, into reflect.Value, key string, tag reflect.StructTag) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addMistake(v.StartOffset, key, KindWrongType, "an array [ … ]")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(a.Elements), len(a.Elements)))
	for i := range a.Elements {
		d.decodeValue(&a.Elements[i], into.Index(i), key, tag)
	}
}

func literalOfKind(v *hujson.Value, kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := v.Value.(hujson.Literal)
	return l, ok && l.Kind() == kind
}

func (d *decoder) decodeString(v *hujson.Value, into reflect.Value, key string, tag reflect.StructTag) {
	l, ok := literalOfKind(v, '"')
	if !ok {
		d.addMistake(v.StartOffset, key, KindWrongType, "a string in quotes")
		return
	}
	allowed := tag.Get("oneof")
	if allowed != "" && !slices.Contains(strings.Split(allowed, ","), l.String()) {
		d.addMistake(v.StartOffset, key, KindWrongValue, "one of "+strings.ReplaceAll(allowed, ",", ", "))
		return
	}
	if tag.Get("need") != "" && l.String() == "" {
		d.addMistake(v.StartOffset, key, KindWrongValue, "it must not be empty: "+tag.Get("need"))
		return
	}
	into.SetString(l.String())
}

func (d *decoder) decodeBool(v *hujson.Value, into reflect.Value, key string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
		d.addMistake(v.StartOffset, key, KindWrongType, "true or false")
		return
	}
	into.SetBool(l.Bool())
}

func (d *decoder) decodeInteger(v *hujson.Value, into reflect.Value, key string, tag reflect.StructTag) {
	l, ok := literalOfKind(v, '0')
	if !ok {
		d.addMistake(v.StartOffset, key, KindWrongType, "a whole number")
		return
	}
	digits, _ := normalizer.Integer([]byte(l))
	n, err := strconv.ParseInt(string(digits), 10, 64)
	minimum, bounded := tag.Lookup("min")
	low, _ := strconv.ParseInt(minimum, 10, 64)
	if err != nil || (bounded && n < low) || into.OverflowInt(n) {
		d.addMistake(v.StartOffset, key, KindWrongValue, "a whole number"+minimumText(minimum))
		return
	}
	into.SetInt(n)
}

func (d *decoder) decodeFloat(v *hujson.Value, into reflect.Value, key string, tag reflect.StructTag) {
	l, ok := literalOfKind(v, '0')
	if !ok {
		d.addMistake(v.StartOffset, key, KindWrongType, "a number")
		return
	}
	minimum, bounded := tag.Lookup("min")
	low, _ := strconv.ParseFloat(minimum, 64)
	if bounded && l.Float() < low {
		d.addMistake(v.StartOffset, key, KindWrongValue, "a number"+minimumText(minimum))
		return
	}
	into.SetFloat(l.Float())
}

func (d *decoder) decodeDuration(v *hujson.Value, into reflect.Value, key string, tag reflect.StructTag) {
	l, ok := literalOfKind(v, '"')
	if !ok {
		d.addMistake(v.StartOffset, key, KindWrongType, `a duration like "1.5s"`)
		return
	}
	t, err := time.ParseDuration(l.String())
	minimum, bounded := tag.Lookup("min")
	low, _ := time.ParseDuration(minimum)
	if err != nil || (bounded && t < low) {
		d.addMistake(v.StartOffset, key, KindWrongValue, `a duration like "1.5s"`+minimumText(minimum))
		return
	}
	into.SetInt(int64(t))
}

func minimumText(minimum string) string {
	if minimum == "" {
		return ""
	}
	return " of at least " + minimum
}
