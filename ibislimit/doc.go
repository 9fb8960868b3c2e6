// Package ibislimit bounds what clients can make a server hold: connections, the bytes of requests that are being read,
// and log lines. A Listener closes the connections that have waited longest for a request when there are too many, or
// when descriptors run out. A Budget bounds the bytes of all bodies that are being read. Package platform and package
// ibisdaemon use both for their HTTP servers, package ibisnode uses a Listener for links.
//
// Usage:
//
//	l := ibislimit.NewListener(tcp, ibislimit.Options{MaxConns: 1600, IdleTimeout: func() time.Duration { return 15 * time.Second }})
//	go srv.Serve(l)
//
//	// In the handler, with the connection c and the stream r of the body:
//	body, release, err := budget.ReadBody(r, announced, 256<<10)
//	if err != nil {
//		return err // ErrTooLarge or ErrNoMemory: nothing was handed on
//	}
//	defer release()
//	if !ibislimit.Of(c).Busy() {
//		return // the connection was closed for another one
//	}
//	defer ibislimit.Of(c).Idle()
package ibislimit
