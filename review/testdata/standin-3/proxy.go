package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to the address of an entry for other processes.
type proxy struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	// held is true while no data passes in either direction, as in a silent partition.
	held bool
}

// hold holds back all data, or passes on what was held back.
func (p *proxy) hold(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
}

func (p *proxy) isHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// newProxy returns a proxy that listens until the cluster is closed.
func (c *cluster) newProxy(address, target string) (*proxy, error) {
	p := &proxy{address: address, target: target}
	context.AfterFunc(c.ctx, p.refuse)
	return p, p.listen()
}

// listen accepts connections.
func (p *proxy) listen() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(client)
		}
	}()
	return nil
}

// refuse refuses new connections. Those that are open go on.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0) // Nothing listens there.
		_ = client.Close()
		return
	}
	go p.copy(server, client)
	p.copy(client, server)
}

func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for p.isHeld() {
			time.Sleep(time.Millisecond)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}
