package proxy

import (
	"net/http"

	"github.com/cactusreel/cactusreel/result"
)

func (p *Proxy) serveCaller(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "the request path is being written", result.NotReady.HTTPStatus())
}

func (p *Proxy) servePeer(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "the request path is being written", result.NotReady.HTTPStatus())
}
