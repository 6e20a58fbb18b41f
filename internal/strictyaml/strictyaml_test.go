package strictyaml

import (
	"strings"
	"testing"
)

type sample struct {
	Name  string `yaml:"name"`
	Inner struct {
		Count int `yaml:"count"`
	} `yaml:"inner"`
	List []struct {
		Word string `yaml:"word"`
	} `yaml:"list"`
}

const good = `# comment
name: a
inner:
  count: 3
list:
  - {word: x}
  - word: y
`

func TestLineFindsValuesAndTheirNearestParent(t *testing.T) {
	var s sample
	doc, err := Decode("f.yaml", []byte(good), &s)
	if err != nil {
		t.Fatal(err)
	}
	for key, want := range map[string]int{
		"name": 2, "inner.count": 4, "inner.absent": 4, "list[1].word": 7, "list[0].word": 6, "list[0].absent": 6, "absent": 0,
	} {
		if got := doc.Line(key); got != want {
			t.Errorf("line of %s: got %d, want %d", key, got, want)
		}
	}
	if !doc.Has("inner.count") || doc.Has("inner.other") {
		t.Error("Has is wrong")
	}
	problem := doc.Problem("inner.count", "1 to 2", "%d is out of range", 3)
	if got, want := problem.Error(), "f.yaml:4: inner.count: 3 is out of range (allowed: 1 to 2)"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestDecodeRefuses(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "name: a\ncolour: red\n", `f.yaml:2: unknown field "colour"`},
		{"duplicate key", "name: a\nname: b\n", "f.yaml:2:"},
		{"wrong type", "inner:\n  count: many\n", "f.yaml:2:"},
		{"syntax", "name: [a\n", "f.yaml:1:"},
		{"empty", "", "f.yaml: the file must hold exactly one YAML document"},
		{"two documents", "name: a\n---\nname: b\n", "exactly one"},
		{"tag", "name: !!str a\n", "f.yaml:1: tags, anchors, aliases and merge keys are not allowed"},
		{"anchor", "name: &x a\n", "f.yaml:1: tags, anchors"},
		{"alias", "inner: &x\n  count: 3\nlist: [*x]\n", "f.yaml:3: tags, anchors"},
		{"merge key", "inner:\n  <<: {count: 1}\n", "f.yaml:2: tags, anchors"},
		{"tag that the decoder panics on", "list: !0\n  0: 0\n", "f.yaml:1: tags, anchors"},
		{"too large", strings.Repeat("#", MaxDocumentBytes+1), "at most"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s sample
			_, err := Decode("f.yaml", []byte(c.text), &s)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}
