package wire

import (
	"bytes"
	"reflect"
	"testing"

	"dragonflyyard/internal/model"
)

func TestReusedEncoderAndDecoderKeepMessagesApart(t *testing.T) {
	messages := []Message{
		&AnswerPart{Request: "r1", Parts: 1, Total: 3, Body: []byte("abc")},
		&Heartbeat{Seq: 1 << 40, AckSeq: 3},
		&AnswerPart{Request: "r2", Parts: 1, Body: bytes.Repeat([]byte("x"), 2*maxKeptBytes)},
		&Hello{Role: RoleAgent, Process: "p", Backend: &model.BackendServer{ID: "b"}},
		&Heartbeat{},
	}
	encoder, decoder := NewEncoder(), NewDecoder()
	var got []Message
	for _, m := range messages {
		frame, err := encoder.Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decoder.Decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decoder.Decode(frame[:len(frame)-1]); err == nil {
			t.Error("decoded a truncated frame")
		}
		got = append(got, decoded)
	}
	if !reflect.DeepEqual(got, messages) {
		t.Errorf("got %+v", got)
	}
}
