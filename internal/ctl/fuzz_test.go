package ctl

import (
	"testing"

	"github.com/valyala/fasthttp"

	"dragonflyyard/internal/model"
	"dragonflyyard/internal/operatorapi"
)

// FuzzEntryAnswer reads any bytes and status as an entry host's answer. A call
// that changes is "refused" only under a status that says so.
func FuzzEntryAnswer(f *testing.F) {
	f.Add(200, []byte(`{"job":{"id":"j1","account":"a","state":"running"}}`))
	f.Add(200, []byte(`{"jobs":[],"next":"j1"}`))
	f.Add(200, []byte(`{"results":{"a":"cancelled"}}`))
	f.Add(200, []byte(`{"version":1,"accounts":{},"guarantees":{},"zones":{},"weights":{},"object_versions":{}}`))
	f.Add(409, []byte(`{"change":"c1","status":"conflict","winner":{"id":"c2","account":{"id":"a"}}}`))
	f.Add(503, []byte(`{"code":"stopping","sentence":"Later.","retry_after_ms":1}`))
	f.Add(502, []byte(`<html>`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		for _, target := range []any{
			&operatorapi.JobReply{}, &operatorapi.JobList{}, &operatorapi.Explanation{}, &operatorapi.CancelReply{}, &operatorapi.History{},
			&operatorapi.GuaranteeCheck{}, &operatorapi.ProcessList{}, &operatorapi.Timeline{}, &model.ConfigDocument{}, &map[string]string{},
		} {
			_ = decodeAnswer(body, target)
		}
		post := call{method: fasthttp.MethodPost}
		code := exitCode(refusal(post, reply{entry: "e", status: status, body: body}))
		isClear := status >= 400 && status < 500 || status == fasthttp.StatusServiceUnavailable
		if isClear == (code == ExitInDoubt) {
			t.Errorf("status %d: exit code %d", status, code)
		}
		if code := exitCode(refusal(post, reply{entry: "e", status: status, body: body, ambiguous: true})); code != ExitInDoubt {
			t.Errorf("status %d after an ambiguous attempt: exit code %d", status, code)
		}
	})
}
