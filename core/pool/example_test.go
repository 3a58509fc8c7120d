package pool_test

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/galenalock/galenalock/core/pool"
)

func ExampleUnsent() {
	p := pool.New()
	defer p.Close()
	_, err := p.Do(context.Background(), &pool.Request{
		Target: netip.MustParseAddrPort("127.0.0.1:1"), Method: "POST", URI: "/orders", Host: "ledger.example", NonRepeatable: true,
	})
	fmt.Println(pool.Unsent(err))
	// Output: true
}
