package config

import (
	"encoding/binary"

	"github.com/cloverwheel/cloverwheel/internal/peer"
)

// maxAddressBytes bounds the address in a rider's payload.
const maxAddressBytes = 64

// Collect implements member.Rider: the version in force and where to pull it.
func (s *Service) Collect(limit int) []byte {
	payload := binary.AppendUvarint(nil, s.Current().Version)
	payload = append(payload, s.self().Address...)
	if len(payload) > limit {
		return nil
	}
	return payload
}

// Deliver implements member.Rider: a higher version is pulled at once.
func (s *Service) Deliver(payload []byte) {
	version, size := binary.Uvarint(payload)
	if size <= 0 || len(payload)-size > maxAddressBytes || version <= s.Current().Version {
		return
	}
	select {
	case s.wake <- peer.Address(payload[size:]):
	default:
	}
}
