package wire

import (
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"

	"dragonflyyard/internal/model"
)

func TestEncodeDecodeRoundTrip(t *testing.T) {
	messages := []Message{
		&Hello{Role: RoleAgent, Process: "a", Backend: &model.BackendServer{ID: "a", Slots: 8}},
		&AnswerPart{Request: "r", Part: 1, Parts: 2, Total: 4, Status: 200, Body: []byte("ab")},
		&ConfigUpdate{To: 3, Changes: []model.ConfigChange{{ID: "c", Object: "zone/z", Zone: model.ZoneOut}}},
		&WorkerReport{Worker: model.Worker{ID: "w"}, Tasks: []TaskReport{{Job: "j", State: TaskRunning}}},
	}
	for _, want := range messages {
		frame, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(frame)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("type %d: got %+v, want %+v", want.WireType(), got, want)
		}
	}
}

func TestEveryTypeByteMatchesItsMessage(t *testing.T) {
	for b := 0; b < 256; b++ {
		m := newMessage(Type(b))
		if m != nil && m.WireType() != Type(b) {
			t.Errorf("type byte %d creates a message of type %d", b, m.WireType())
		}
	}
}

func TestDecodeRefusesBadFrames(t *testing.T) {
	cases := []struct {
		name  string
		frame []byte
		want  error
	}{
		{"empty", nil, ErrFrameSize},
		{"too large", make([]byte, MaxFrameBytes+1), ErrFrameSize},
		{"other version", []byte{9, byte(TypeHello)}, ErrVersion},
		{"unknown type", []byte{ProtocolVersion, 255}, ErrUnknownType},
		{"no body", []byte{ProtocolVersion, byte(TypeHello)}, ErrMalformed},
		{"text in place of array", []byte{ProtocolVersion, byte(TypeHello), 0x63, 'a', 'b', 'c'}, ErrMalformed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Decode(c.frame); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
