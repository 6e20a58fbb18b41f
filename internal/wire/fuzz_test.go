package wire

import (
	"bytes"
	"testing"

	"dragonflyyard/internal/model"
)

// FuzzDecode checks that no frame crashes the decoder or makes it use much more
// memory than the frame's size, and that a decoded message can be encoded and
// decoded again.
func FuzzDecode(f *testing.F) {
	for b := 0; b < 256; b++ {
		message := newMessage(Type(b))
		if message == nil {
			continue
		}
		frame, err := Encode(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	full, err := Encode(&ConfigUpdate{To: 3, Changes: []model.ConfigChange{{ID: "c", Object: "zone/z", Zone: model.ZoneOut}},
		Document: &model.ConfigDocument{Zones: map[model.AvailabilityZoneName]model.ZoneState{"z": model.ZoneIn}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(full)
	f.Add([]byte{ProtocolVersion, byte(TypeAnswerPart), 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{ProtocolVersion, byte(TypeHello), 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Add(append([]byte{ProtocolVersion, byte(TypeConfigUpdate)}, bytes.Repeat([]byte{0x81}, 10_000)...))
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, err := Decode(frame)
		if err != nil {
			return
		}
		reencoded, err := Encode(message)
		if err != nil {
			// A decoded message may be larger than a frame.
			return
		}
		if _, err := Decode(reencoded); err != nil {
			t.Errorf("%T cannot be decoded after it was encoded again: %v", message, err)
		}
	})
}
