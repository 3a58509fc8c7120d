package stub

import (
	"fmt"
	"net/http"
)

// writeCut writes an answer that is cut off at a point. On HTTP/2 it resets the
// stream instead of the connection, which other requests share.
func writeCut(w http.ResponseWriter, point CutPoint, load string, body []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		writeCutStream(w, point, body)
	}
	raw, buffer, err := hijacker.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer raw.Close()
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/octet-stream\r\nGalenalock-Load: " + load + "\r\n"
	half := body[:len(body)/2]
	switch point {
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
	if c, ok := raw.(*conn); ok && point == CutBody {
		_ = c.reset() // the connection is broken for the caller even on an error
	}
}

// writeCutStream writes the part of the answer before the cut and resets the
// stream.
func writeCutStream(w http.ResponseWriter, point CutPoint, body []byte) {
	if point == CutBody || point == CutTruncated || point == CutChunk {
		part := body
		if point != CutChunk {
			part = body[:len(body)/2]
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		if _, err := w.Write(part); err == nil {
			_ = http.NewResponseController(w).Flush() // the stream is reset next
		}
	}
	panic(http.ErrAbortHandler)
}
