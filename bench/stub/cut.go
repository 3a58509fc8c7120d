package stub

import (
	"fmt"
	"net/http"
)

// cut answers a request incompletely. On HTTP/2 the stream is reset at the same
// point, because one connection carries many requests.
func cut(w http.ResponseWriter, at Cut, load string, body []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		cutStream(w, at, body)
	}
	raw, buffer, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer raw.Close()
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nGalenalock-Load: " + load + "\r\n"
	half := body[:len(body)/2]
	switch at {
	case CutHeader:
		fmt.Fprint(buffer, head)
	case CutBody, CutTruncated:
		fmt.Fprintf(buffer, "%sContent-Length: %d\r\n\r\n%s", head, len(body), half)
	case CutChunk:
		fmt.Fprintf(buffer, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
	}
	if buffer.Flush() != nil {
		return
	}
	if c, ok := raw.(*conn); ok && at == CutBody {
		_ = c.reset() // the caller sees a broken connection either way
	}
}

// cutStream writes the part before the cut and resets the stream.
func cutStream(w http.ResponseWriter, at Cut, body []byte) {
	if at == CutBody || at == CutTruncated || at == CutChunk {
		part := body
		if at != CutChunk {
			part = body[:len(body)/2]
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		if _, err := w.Write(part); err == nil {
			_ = http.NewResponseController(w).Flush() // the stream is reset next
		}
	}
	panic(http.ErrAbortHandler)
}
