package headcase

// Sound returns answers whose heads are sound, if unusual. Their body is "data" in chunks, by its length, to the end of the connection, or there
// is none.
func Sound() []string {
	return []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndata",
		"HTTP/1.0 200 OK\r\n\r\ndata",
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\ndata",
		"HTTP/1.1 200\r\nContent-Length:4\r\n\r\ndata",
		"HTTP/1.1 200 \r\nContent-Length: \t 4 \t\r\n\r\ndata",
		"HTTP/1.1 299 Strange \x80\xff\tReason \r\nContent-Length: 004\r\n\r\ndata",
		"HTTP/1.1 599 \r\nX-A:\r\nX-A: \r\nX-A: a\tb  c\r\nContent-Length: 4\r\n\r\ndata",
		"HTTP/1.1 999 Odd\r\n!#$%&'*+-.^_`|~09AZaz: (\x80\xff)\r\nContent-Length: 4\r\n\r\ndata",
		"HTTP/1.1 200 OK\r\nSet-Cookie: a=1; Path=/\r\nSet-Cookie: b\r\nContent-Length: 4\r\n\r\ndata",
		"HTTP/1.1 103 Early Hints\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 205 Reset Content\r\nContent-Length: 4\r\n\r\ndata",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\n\r\n",
	}
}
