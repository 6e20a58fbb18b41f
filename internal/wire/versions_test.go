package wire

import "testing"

// earlierHeartbeat is Heartbeat before NoStatus was appended.
type earlierHeartbeat struct{ Seq, AckSeq uint64 }

// WireType implements Message.
func (*earlierHeartbeat) WireType() Type { return TypeHeartbeat }

func TestHeartbeatOfAnEarlierSenderAsksForAStatus(t *testing.T) {
	frame, err := Encode(&earlierHeartbeat{Seq: 7, AckSeq: 6})
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(frame)
	if err != nil {
		t.Fatal(err)
	}
	if beat, ok := got.(*Heartbeat); !ok || *beat != (Heartbeat{Seq: 7, AckSeq: 6}) {
		t.Errorf("got %+v", got)
	}
}

func TestEarlierReceiverReadsALaterHeartbeat(t *testing.T) {
	frame, err := Encode(&Heartbeat{Seq: 7, AckSeq: 6, NoStatus: true})
	if err != nil {
		t.Fatal(err)
	}
	decoder := NewDecoder()
	decoder.cbor.ResetBytes(frame[headerBytes:])
	var got earlierHeartbeat
	if err := decoder.cbor.Decode(&got); err != nil || got != (earlierHeartbeat{Seq: 7, AckSeq: 6}) {
		t.Errorf("got %+v, %v", got, err)
	}
}
