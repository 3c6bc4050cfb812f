package httpapi_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/hostapi/httpapi"
	"github.com/cactusreel/cactusreel/result"
)

// Guards against stream names, ids, data or offsets that change in the encoding.
func TestLogRoundTrip(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{page: hostapi.LogPage{First: 3, Next: 7}}
	client := httpapi.NewLogClient(serve(t, httpapi.NewLogHandler(log)), nil)
	data := []byte{0, 0xff, '"', '\n'}

	offset, err := client.Append(testContext(t), "tasks/giza/2", "00ff-1&x=%", data)
	is.NoErr(err)
	is.Equal(offset, int64(7))
	is.Equal(log.stream, "tasks/giza/2")
	is.Equal(log.id, "00ff-1&x=%")
	is.Equal(log.data, data)

	log.page.Records = []hostapi.LogRecord{{Offset: 5, ID: "a", Data: data}, {Offset: 6, ID: "b", Data: []byte{}}}
	page, err := client.Read(testContext(t), "claims/giza", 5, 10)
	is.NoErr(err)
	is.Equal(page, log.page)
	is.Equal(log.stream, "claims/giza")
	is.Equal(log.from, int64(5))
	is.Equal(log.limit, 10)
}

// Guards against wrong request paths for base URLs, which settings can contain.
func TestBaseURL(t *testing.T) {
	is := is.New(t)
	handler := http.StripPrefix("/platform", httpapi.NewLogHandler(&fakeLog{page: hostapi.LogPage{Next: 4}}))
	client := httpapi.NewLogClient("http://"+serve(t, handler)+"/platform/", nil)
	offset, err := client.Append(testContext(t), "claims/giza", "id", nil)
	is.NoErr(err)
	is.Equal(offset, int64(4))
}

// Guards against a reader that can't distinguish a truncated stream from a
// failure, or does not get the first retained offset.
func TestTruncatedReadReturnsPageBounds(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{page: hostapi.LogPage{First: 40, Next: 50}, err: fmt.Errorf("read: %w", hostapi.ErrTruncated)}
	client := httpapi.NewLogClient(serve(t, httpapi.NewLogHandler(log)), nil)
	page, err := client.Read(testContext(t), "resources", 7, 10)
	is.True(errors.Is(err, hostapi.ErrTruncated))
	is.Equal(page, log.page)
}

// Guards against an append that is reported as not sent although it may have
// taken effect, and against a refused connection that is not reported as such.
func TestNotSentOnlyWithoutConnection(t *testing.T) {
	is := is.New(t)
	_, err := httpapi.NewLogClient(refusingAddress(t), nil).Append(testContext(t), "resources", "id", nil)
	is.True(errors.Is(err, hostapi.ErrNotSent))

	abort := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	_, err = httpapi.NewLogClient(serve(t, abort), nil).Append(testContext(t), "resources", "id", nil)
	is.True(err != nil)
	is.True(!errors.Is(err, hostapi.ErrNotSent))
}

// Guards against following a redirect to a server that refuses the connection:
// the append would be reported as not sent although the first server received it.
func TestRedirectIsNotFollowed(t *testing.T) {
	is := is.New(t)
	refusing := refusingAddress(t)
	redirect := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "http://"+refusing+"/", http.StatusTemporaryRedirect)
	})
	_, err := httpapi.NewLogClient(serve(t, redirect), nil).Append(testContext(t), "resources", "id", nil)
	is.True(err != nil)
	is.True(!errors.Is(err, hostapi.ErrNotSent))
}

// Guards against unbounded request and response bodies.
func TestBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	address := serve(t, httpapi.NewLogHandler(log))
	body := bytes.NewReader(make([]byte, httpapi.MaxRecordBytes+1))
	response, err := http.Post("http://"+address+"/log/resources?id=a", "", body)
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(response.Header.Get(httpapi.HeaderResult), "2008")
	is.Equal(log.id, "") // not appended

	endless := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			_, err := w.Write(make([]byte, 1<<16))
			if err != nil {
				return
			}
		}
	})
	_, err = httpapi.NewLogClient(serve(t, endless), nil).Append(testContext(t), "resources", "id", nil)
	is.Equal(result.CodeOf(err, result.OK), result.TooLarge)
	is.True(!errors.Is(err, hostapi.ErrNotSent))
}

// Guards against a page that exceeds the limit of the client, and against a page
// without records because the first record is large.
func TestPageSizeIsLimited(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{page: hostapi.LogPage{First: 1, Next: 7}}
	for i := range 6 {
		data := make([]byte, httpapi.MaxRecordBytes)
		log.page.Records = append(log.page.Records, hostapi.LogRecord{Offset: int64(i + 1), ID: "x", Data: data})
	}
	client := httpapi.NewLogClient(serve(t, httpapi.NewLogHandler(log)), nil)
	page, err := client.Read(testContext(t), "resources", 1, 100)
	is.NoErr(err)
	is.Equal(len(page.Records), httpapi.MaxPageDataBytes/httpapi.MaxRecordBytes)
	is.Equal(page.Next, int64(7))
}

// Guards against pages that would make a reader skip or repeat records.
func TestDecodePageRejectsInconsistentPages(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		`{"first":1,"next":4,"records":[{"offset":1},{"offset":3}]}`,
		`{"first":1,"next":2,"records":[{"offset":1},{"offset":2}]}`,
		`{"first":1,"next":4,"records":[{"offset":2}]}`,
		`{"first":1,"next":4,"records":[]}`,
		`{"first":2,"next":4,"records":[{"offset":1}]}`,
		`{"first":0,"next":0,"records":[]}`,
		`{"first":1,"next":4,"records":[{"offset":1},{"offset":2},{"offset":3}]}`,
		`{"first":1,"next":4,"records":[{"offset":1}]} {}`,
	} {
		_, err := httpapi.DecodePage([]byte(text), 1, 2)
		is.True(err != nil) // page must be rejected
	}
}

// Guards against stream names that are changed by the encoding in a URL path.
func TestCheckStream(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"resources", "claims/sfax-a", "tasks/sfax-a/12"} {
		is.NoErr(httpapi.CheckStream(name))
	}
	for _, name := range []string{"", "/", "a//b", "a/../b", "a/.", "a b", "a?b", "a%2fb", "é"} {
		err := httpapi.CheckStream(name)
		is.Equal(result.CodeOf(err, result.OK), result.BadResource)
	}
}
