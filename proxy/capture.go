package proxy

import (
	"net/http"

	"github.com/cactusreel/cactusreel/dedup"
)

// capture keeps a copy of a response up to dedup.MaxAnswerBytes.
type capture struct {
	status int
	header http.Header
	body   []byte
	over   bool
}

func (k *capture) add(p []byte) {
	if k.over || len(k.body)+len(p) > dedup.MaxAnswerBytes {
		k.over = true
		k.body = nil
		return
	}
	k.body = append(k.body, p...)
}

func (k *capture) answer() *dedup.Answer {
	return &dedup.Answer{Status: k.status, Header: k.header, Body: k.body}
}
