package proxy

import (
	"net/http"

	"github.com/cactusreel/cactusreel/dedup"
)

// responseCapture copies a response with a body of up to dedup.MaxAnswerBytes.
type responseCapture struct {
	status   int
	header   http.Header
	body     []byte
	tooLarge bool
}

func (k *responseCapture) add(p []byte) {
	if k.tooLarge || len(k.body)+len(p) > dedup.MaxAnswerBytes {
		k.tooLarge = true
		k.body = nil
		return
	}
	k.body = append(k.body, p...)
}

func (k *responseCapture) answer() *dedup.Answer {
	return &dedup.Answer{Status: k.status, Header: k.header, Body: k.body}
}
