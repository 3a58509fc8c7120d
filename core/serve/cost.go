package serve

import (
	"bytes"
	"net/http"
)

// Estimated memory of connections and requests in bytes, measured with Go 1.26 on
// unfinished heads of 2,200 lines of 6 bytes: 290 kB for each connection.
const (
	connCost     = 16 << 10 // goroutine, buffers of net/http
	requestCost  = 12 << 10 // goroutines, copy of the head, connection to a target
	smallHead    = 16 << 10 // head that is worth as much as an idle connection
	headLineCost = 160      // parsed line: name, value, entry in the map
	headByteCost = 2        // line in a buffer and its copy
	// encryptedByteCost replaces both on TLS connections, whose lines are not visible.
	// The shortest lines that net/http accepts have 3 bytes.
	encryptedByteCost = headByteCost + headLineCost/3
)

// headSize counts what a request head consists of.
type headSize struct {
	bytes    int64
	lines    int64
	elements int64 // of lists: net/http parses those of the header Trailer
}

func sizeOf(data []byte) headSize {
	return headSize{
		bytes: int64(len(data)), lines: int64(bytes.Count(data, []byte("\n"))), elements: int64(bytes.Count(data, []byte(","))),
	}
}

func (s headSize) plus(o headSize) headSize {
	return headSize{bytes: s.bytes + o.bytes, lines: s.lines + o.lines, elements: s.elements + o.elements}
}

// cost estimates the memory of the head.
func (s headSize) cost(encrypted bool) int64 {
	if encrypted {
		return s.bytes * encryptedByteCost
	}
	return (s.lines+s.elements)*headLineCost + s.bytes*headByteCost
}

// parsedCost estimates the memory of a request without its body.
func parsedCost(r *http.Request) int64 {
	cost := int64(requestCost) + int64(len(r.Trailer))*headLineCost
	for name, values := range r.Header {
		cost += headLineCost + headByteCost*int64(len(name))
		for _, v := range values {
			cost += headByteCost * int64(len(v))
		}
	}
	return cost
}
