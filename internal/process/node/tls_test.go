package node

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"currantladder.example/currantladder/internal/process/eventlog"
	"currantladder.example/currantladder/internal/process/settings"
)

// writeCertificate writes a self-signed certificate for the loopback address. It
// returns the paths of certificate and key.
func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, content []byte) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: content}), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	return write("cert.pem", "CERTIFICATE", cert), write("key.pem", "PRIVATE KEY", private)
}

// TestListenersServeTLS verifies that the three listeners of a node serve HTTPS,
// and that a peer client with the key and the CA certificate is accepted.
func TestListenersServeTLS(t *testing.T) {
	certFile, keyFile := writeCertificate(t)
	listener := settings.Listener{
		Address: "127.0.0.1:0", CertFile: certFile, KeyFile: keyFile, MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 14,
		HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxStreams: 10,
	}
	const second = time.Second
	s := &settings.Settings{
		Node:    settings.Node{Name: "node-1", Region: "north", FailureDomain: "north-1"},
		Callers: listener, Peers: settings.Peers{Listener: listener, Key: "key-of-the-peers-of-this-test", CAFile: certFile},
		Operators: settings.Operators{Listener: listener, Users: map[string]string{}},
		Platform:  settings.Platform{URL: "http://127.0.0.1:1", CallTimeout: second, LoadTime: second, ConcurrentLoads: 1},
		Timing: settings.Timing{
			LeaseTTL: 9 * second, LeaseRenewInterval: 3 * second, HeadPollInterval: second, PeerProbeInterval: second, PeerTimeout: 6 * second, HostListPollInterval: second,
			HealthProbeInterval: second, MaxHealthAge: 2 * second, OrderTimeout: second, IsolationTimeout: time.Minute, SharePresenceTimeout: time.Minute, DrainTimeout: second,
		},
	}
	n, err := New(s, eventlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	defer func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	pool := x509.NewCertPool()
	cert, _ := os.ReadFile(certFile)
	pool.AppendCertsFromPEM(cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	defer client.CloseIdleConnections()
	for url, want := range map[string]string{
		"https://" + n.Addresses().Callers + "/healthz":        "ok",
		"https://" + n.Addresses().Peers + "/peer/log?after=0": "the peer key is wrong",
		"https://" + n.Addresses().Operators + "/api/Rank":     "token",
		"http://" + n.Addresses().Callers + "/healthz":         "HTTPS server",
	} {
		response, err := client.Get(url)
		if err != nil {
			t.Errorf("%s: %v", url, err)
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if !strings.Contains(string(body), want) {
			t.Errorf("%s: got body %q, want it to contain %q", url, body, want)
		}
	}
	if _, err := n.peers.Log(context.Background(), n.Addresses().Peers, 0); err != nil && !strings.Contains(err.Error(), "410") {
		t.Errorf("peer client with the key and the CA certificate: got error %v, want none or status 410", err)
	}
}
