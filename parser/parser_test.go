package parser_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"agatevalve/common/fault"
	"agatevalve/parser"
)

// book is the result of readBook.
type book struct {
	name    string
	pages   int
	loan    time.Duration
	chapter []string
	words   map[string]int
}

func readBook(o *parser.Object) book {
	return book{
		name:    parser.Required(o, "name", parser.Name(5)),
		pages:   parser.Optional(o, "pages", 7, parser.Int(1, 10)),
		loan:    parser.Optional(o, "loan", time.Hour, parser.Duration(time.Second, time.Hour)),
		chapter: parser.Optional(o, "chapters", nil, parser.List(2, parser.Nested(readChapter))),
		words:   parser.Optional(o, "words", nil, parser.Map(2, parser.Int(0, 9))),
	}
}

func readChapter(o *parser.Object) string { return parser.Required(o, "title", parser.Text(5)) }

func TestDecode(t *testing.T) {
	is := is.New(t)
	got, err := parser.Decode("f", []byte(`{"name":"a","loan":"1m30s","chapters":[{"title":""},{"title":"b"}],"words":{"x":9}}`), readBook)
	is.NoErr(err)
	is.Equal(got, book{"a", 7, 90 * time.Second, []string{"", "b"}, map[string]int{"x": 9}})
}

// TestProblems checks the line, field, text and remedy of each kind of problem.
func TestProblems(t *testing.T) {
	cases := []struct{ name, text, want, remedy string }{
		{"missing", "\n{}", "f:2: field name: missing", "add the field"},
		{"unknown", "{\"name\":\"a\",\n\"Pages\":1}", "f:2: field Pages: unknown field", "use one of name, pages, loan, chapters, words"},
		{"doubled", "{\"name\":\"a\",\n\n\"name\":\"b\"}", "f:3: field name: given twice", "keep one of the two"},
		{"duplicate by escape", "{\"name\":\"a\",\"n\\u0061me\":\"b\"}", "f:1: field name: given twice", "keep one of the two"},
		{"nested", "{\"name\":\"a\",\"chapters\":[\n{\"title\":\"b\"},\n{\"title\":\n7}]}", "f:4: field chapters[1].title: is a number", "write a string"},
		{"unknown in nested object", "{\"name\":\"a\",\"chapters\":[\n{\"title\":\"b\",\n\"page\":1}]}", "f:3: field chapters[0].page: unknown field", "use one of title"},
		{"duplicate in map", "{\"name\":\"a\",\"words\":{\"x\":1,\n\"x\":2}}", "f:2: field words.x: given twice", "keep one of the two"},
		{"too many fields", `{"name":"a","words":{"x":1,"y":2,"z":3}}`, "f:1: field words: has 3 fields", "use at most 2"},
		{"too many items", `{"name":"a","chapters":[{},{},{}]}`, "f:1: field chapters: has 3 items", "use at most 2"},
		{"too many bytes", `{"name":"abcdef"}`, "f:1: field name: has 6 bytes", "use at most 5 bytes"},
		{"empty name", `{"name":""}`, "f:1: field name: is empty", "write a name"},
		{"blanks", `{"name":" a"}`, `f:1: field name: " a" begins or ends with blanks`, "remove the blanks"},
		{"fraction", `{"name":"a","pages":1.5}`, "f:1: field pages: 1.5 is not a whole number in range", "use a whole number from 1 to 10"},
		{"exponent", `{"name":"a","pages":1e400}`, "f:1: field pages: 1e400 is not a whole number in range", "use a whole number from 1 to 10"},
		{"above", `{"name":"a","pages":11}`, "f:1: field pages: 11 is out of range", "use a whole number from 1 to 10"},
		{"duration without unit", `{"name":"a","loan":"5"}`, `f:1: field loan: "5" is not a duration`, `use a duration from "1s" to "1h0m0s" with its unit`},
		{"null", `{"name":null}`, "f:1: field name: is null", "write a string"},
		{"list at top level", "\n\n[]", "f:3: not a JSON object", "start the text with {"},
		{"not UTF-8", "{\"name\":\"\xff\"}", "f:1: not UTF-8", "save the text as UTF-8"},
		{"syntax", "{\"name\":\n\"a\"", "f:2: not JSON: unexpected end of JSON input", "mend the syntax at or before this line"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := parser.Decode("f", []byte(c.text), readBook)
			is.Equal(fault.KindOf(err), fault.Invalid)
			is.Equal(fault.RemedyOf(err), c.remedy)
			is.Equal(err.Error(), c.want+"; "+c.remedy)
		})
	}
}

func TestAllProblemsAreReported(t *testing.T) {
	is := is.New(t)
	_, err := parser.Decode("f", []byte("{\"pages\":0,\n\"page\":1}"), readBook)
	is.Equal(err.Error(), `3 problems
  f:1: field name: missing; add the field
  f:1: field pages: 0 is out of range; use a whole number from 1 to 10
  f:2: field page: unknown field; use one of name, pages, loan, chapters, words; mend each line named above`)
}

func TestRefuseReportsTheLineOfTheField(t *testing.T) {
	is := is.New(t)
	d, err := parser.Parse("f", []byte("{\n\"a\":1,\n\"b\":2}"))
	is.NoErr(err)
	root := d.Root()
	root.Refuse("b", "swap them", "is above %s", "a")
	root.Refuse("c", "add it", "is absent")
	is.Equal(len(d.Problems()), 2)
	is.Equal(d.Problems()[0].String(), "f:3: field b: is above a")
	is.Equal(d.Problems()[1].String(), "f:1: field c: is absent")
}
