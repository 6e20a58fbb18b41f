package process

import (
	"dragonflyyard/internal/link"
	"dragonflyyard/internal/settings"
)

// LinkOptions returns the limits of links that the settings ask for.
func LinkOptions(s *settings.Links) link.Options {
	return link.Options{
		Heartbeat: s.Heartbeat, Silence: s.Silence,
		WriteTimeout: s.WriteTimeout, DialTimeout: s.DialTimeout,
		OutgoingMessages: s.OutgoingMessages, OutgoingBytes: s.OutgoingBytes,
		MinReconnectDelay: s.ReconnectMin, MaxReconnectDelay: s.ReconnectMax,
	}
}
