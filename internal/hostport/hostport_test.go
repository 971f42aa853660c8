package hostport

import (
	"testing"

	"github.com/pkg/errors"
)

func TestParse(t *testing.T) {
	for _, text := range []string{"10.0.0.1:1", "127.0.0.1:65535"} {
		if address, err := Parse(text); err != nil || address.String() != text {
			t.Errorf("%s: %v, %v", text, address, err)
		}
	}
	for _, text := range []string{
		"", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "host:80", "0.0.0.0:80", "224.0.0.1:80", "255.255.255.255:80", "[::1]:80", "[::ffff:10.0.0.1]:80",
		"010.0.0.1:80", " 10.0.0.1:80",
	} {
		if _, err := Parse(text); !errors.Is(err, ErrInvalid) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
