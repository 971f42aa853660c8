// Command atmostonce measures three designs for running actions at most once
// against the key-value stand-in: a record per action, the journals of package
// claims, and keys that name the one daemon that may run the action. It prints
// Markdown tables.
//
//	go run ./test/atmostonce -seconds 10
package main

import (
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/verbenatrail/verbenatrail/internal/claims"
	"github.com/verbenatrail/verbenatrail/internal/kv/etcdjson"
	"github.com/verbenatrail/verbenatrail/internal/settings"
	"github.com/verbenatrail/verbenatrail/internal/standin/kvserver"
)

type options struct {
	daemons  int
	seconds  int
	delayMS  int
	seed     int64
	rates    []int
	designs  []string
	faults   bool
	settings claims.Settings
}

func main() {
	o, err := parse()
	if err == nil {
		err = run(o)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func parse() (options, error) {
	o := options{settings: claims.DefaultSettings()}
	rates := flag.String("rates", "5,50,300,1000", "rates to measure in actions per second, separated by commas")
	ways := flag.String("ways", "record,journal,incarnation", "designs to measure, separated by commas")
	interval := flag.Duration("interval", o.settings.CommitInterval.Std(), "commit interval of the journals")
	flag.IntVar(&o.settings.Slots, "slots", o.settings.Slots, "number of journals")
	flag.IntVar(&o.daemons, "daemons", 16, "number of daemons")
	flag.IntVar(&o.seconds, "seconds", 10, "duration of each measurement in seconds")
	flag.IntVar(&o.delayMS, "delay", 2, "delay added to each key-value call in milliseconds")
	flag.Int64Var(&o.seed, "seed", 20261203, "seed of the random arrival times")
	flag.BoolVar(&o.faults, "faults", true, "also measure an outage and a killed daemon")
	flag.Parse()
	o.settings.CommitInterval = settings.Duration(*interval)
	o.designs = strings.Split(*ways, ",")
	for _, text := range strings.Split(*rates, ",") {
		rate, err := strconv.Atoi(text)
		if err != nil {
			return o, errors.Wrap(err, "-rates: want integers separated by commas")
		}
		o.rates = append(o.rates, rate)
	}
	return o, nil
}

func run(o options) error {
	fmt.Println("| way | actions/s | done | not run | unknown | writes/action | writes/s | reads/action | refused for rate | wire bytes/action | added p50 ms | added p99 ms | most runs of one action |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, rate := range o.rates {
		for _, name := range o.designs {
			if err := measureLoad(o, name, rate); err != nil {
				return err
			}
		}
	}
	if !o.faults {
		return nil
	}
	fmt.Println()
	fmt.Println("| way | situation | done | recorded | not run | unknown | answered p50 ms | answered p99 ms |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, name := range o.designs {
		if err := measureFaults(o, name); err != nil {
			return err
		}
	}
	return nil
}

// bench is one design with its own key-value service.
type bench struct {
	server    *kvserver.Server
	http      *httptest.Server
	design    design
	wireBytes *byteCounter
}

func newBench(o options, name string) (*bench, error) {
	server := kvserver.New(kvserver.DefaultConfig())
	server.Faults.Update(func(f *kvserver.Faults) { f.DelayMS = o.delayMS })
	b := &bench{server: server, http: httptest.NewServer(server), wireBytes: &byteCounter{}}
	links := make([]*link, o.daemons)
	for i := range links {
		store, err := etcdjson.New(etcdjson.Options{
			Endpoints: []string{b.http.URL}, Transport: b.wireBytes.transport(),
		})
		if err != nil {
			return nil, err
		}
		links[i] = &link{Store: store}
	}
	var err error
	b.design, err = newDesign(name, o, links)
	return b, err
}

func (b *bench) close() {
	b.design.close()
	b.http.Close()
	b.server.Close()
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
