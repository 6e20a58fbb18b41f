package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/storeapi"
)

func (s *Store) get(t *testing.T, uri string) rowsAnswer {
	t.Helper()
	ctx := &fasthttp.RequestCtx{}
	ctx.Request.SetRequestURI(uri)
	s.HandleRows(ctx)
	var out rowsAnswer
	if err := json.Unmarshal(ctx.Response.Body(), &out); err != nil || ctx.Response.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("%s: status %d, %v", uri, ctx.Response.StatusCode(), err)
	}
	return out
}

// TestAnswersOfStoreAreCut checks that the stand-in cuts its answers as the platform's
// store does, so that tests notice a reader that takes a page for all rows.
func TestAnswersOfStoreAreCut(t *testing.T) {
	s := NewStore(time.Now)
	for i := range maxPageRows + 1 {
		if err := s.Seed(storeapi.JoinKey("t", "", fmt.Sprintf("k-%04d", i)), []byte("v")); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 20 {
		if err := s.Seed(storeapi.JoinKey("large", "", fmt.Sprint(i)), make([]byte, maxRowBytes)); err != nil {
			t.Fatal(err)
		}
	}
	if a := s.get(t, "/rows-get?table=t&part="); len(a.Rows) != maxPageRows || !a.More {
		t.Errorf("%d rows, more: %v", len(a.Rows), a.More)
	}
	if a := s.get(t, "/rows-get?table=t&part=&limit=3"); len(a.Rows) != 3 || !a.More {
		t.Errorf("%d rows, more: %v", len(a.Rows), a.More)
	}
	if a := s.get(t, "/rows-get?table=large&part="); len(a.Rows) != maxPageBytes/maxRowBytes || !a.More {
		t.Errorf("%d large rows, more: %v", len(a.Rows), a.More)
	}
}

// TestListOfPartsIsCut checks the same for the list of a table's parts.
func TestListOfPartsIsCut(t *testing.T) {
	s := NewStore(time.Now)
	for i := range maxPageParts + 2 {
		if err := s.Seed(storeapi.JoinKey("t", fmt.Sprintf("p-%04d", i), "k"), []byte("v")); err != nil {
			t.Fatal(err)
		}
	}
	a := s.get(t, "/rows-parts?table=t")
	if len(a.Parts) != maxPageParts || !a.More {
		t.Errorf("%d parts, more: %v", len(a.Parts), a.More)
	}
	if b := s.get(t, "/rows-parts?table=t&after="+a.Parts[maxPageParts-1]); len(b.Parts) != 2 || b.More {
		t.Errorf("%d further parts, more: %v", len(b.Parts), b.More)
	}
}

// TestStoreRejectsWhatItCanNeverApply checks that the stand-in rejects what the
// platform's store rejects.
func TestStoreRejectsWhatItCanNeverApply(t *testing.T) {
	entry := func(size int) string {
		value, err := json.Marshal(make([]byte, size))
		if err != nil {
			t.Fatal(err)
		}
		return `{"table":"t","part":"","key":"k","value":` + string(value) + `}`
	}
	for name, c := range map[string]struct {
		puts []string
		want int
	}{
		"row of the largest size": {[]string{entry(maxRowBytes)}, fasthttp.StatusOK},
		"row too large":           {[]string{entry(maxRowBytes + 1)}, fasthttp.StatusBadRequest},
		"too many entries":        {strings.Split(strings.Repeat(entry(1)+"|", maxTransactionRows)+entry(1), "|"), fasthttp.StatusBadRequest},
		"too many bytes":          {strings.Split(strings.Repeat(entry(maxRowBytes)+"|", 15)+entry(1), "|"), fasthttp.StatusBadRequest},
	} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI("/rows-tx")
		ctx.Request.Header.SetMethod(fasthttp.MethodPost)
		ctx.Request.SetBodyString(`{"precondition":[],"put":[` + strings.Join(c.puts, ",") + `],"remove":[]}`)
		NewStore(time.Now).HandleRows(ctx)
		if got := ctx.Response.StatusCode(); got != c.want {
			t.Errorf("%s: status %d, want %d", name, got, c.want)
		}
	}
}
