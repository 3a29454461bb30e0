package standin

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"junctioncross/kv"
)

// KVFault holds the faults of the fake key-value service.
type KVFault struct {
	// Down makes every call fail without effect.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of writes that take effect but whose connections are closed without a response.
	LoseAnswers int64 `json:"lose_answers"`
	// CallsPerSecond is the rate above which calls are rejected; zero means no limit.
	CallsPerSecond int64 `json:"calls_per_second"`
}

// KVServer serves the HTTP calls of the fake key-value service.
type KVServer struct {
	keys          *KV
	faults        atomic.Pointer[KVFault]
	answersToLose atomic.Int64
	currentSecond atomic.Int64
	callsInSecond atomic.Int64
	totalCalls    atomic.Int64
}

// NewKVServer returns a server of the records in keys, without faults.
func NewKVServer(keys *KV) *KVServer {
	s := &KVServer{keys: keys}
	s.faults.Store(&KVFault{})
	return s
}

// Handler returns the service's HTTP handler. The paths /faults and /calls are for tests.
func (s *KVServer) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/kv/{key:*}", s.withFaults(s.get))
	r.PUT("/kv/{key:*}", s.withFaults(s.put))
	r.DELETE("/kv/{key:*}", s.withFaults(s.remove))
	r.GET("/list", s.withFaults(s.list))
	r.GET("/watch/{key:*}", s.withFaults(s.watch))
	r.POST("/faults", s.setFaults)
	r.GET("/calls", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.totalCalls.Load()) })
	return r.Handler
}

func (s *KVServer) setFaults(ctx *fasthttp.RequestCtx) {
	var f KVFault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.answersToLose.Store(f.LoseAnswers)
	s.faults.Store(&f)
}

// withFaults returns a handler that applies the faults before it calls next.
func (s *KVServer) withFaults(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		f := s.faults.Load()
		s.totalCalls.Add(1)
		if f.Down {
			ctx.Error("down", fasthttp.StatusServiceUnavailable)
			return
		}
		if f.CallsPerSecond > 0 && s.countCall() > f.CallsPerSecond {
			ctx.Error("too many calls", fasthttp.StatusTooManyRequests)
			return
		}
		if f.SlowMS > 0 {
			time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		}
		next(ctx)
	}
}

func (s *KVServer) countCall() int64 {
	now := time.Now().Unix()
	if s.currentSecond.Swap(now) != now {
		s.callsInSecond.Store(0)
	}
	return s.callsInSecond.Add(1)
}

func (s *KVServer) get(ctx *fasthttp.RequestCtx) {
	record, ok := s.keys.Get(keyOf(ctx))
	writeRecord(ctx, record, ok, fasthttp.StatusNotFound)
}

func (s *KVServer) list(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, s.keys.List(string(ctx.QueryArgs().Peek("prefix"))))
}

func (s *KVServer) put(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	record, ok := s.keys.Write(kv.Put{
		Key:    keyOf(ctx),
		Value:  append([]byte(nil), ctx.PostBody()...),
		Expect: kv.Revision(args.GetUintOrZero("expect")),
		TTL:    time.Duration(args.GetUintOrZero("ttl_ms")) * time.Millisecond,
	})
	if ok && s.answersToLose.Add(-1) >= 0 {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConnection)
		return
	}
	writeRecord(ctx, record, ok, fasthttp.StatusPreconditionFailed)
}

func (s *KVServer) remove(ctx *fasthttp.RequestCtx) {
	ok := s.keys.Delete(keyOf(ctx), kv.Revision(ctx.QueryArgs().GetUintOrZero("expect")))
	writeRecord(ctx, kv.Record{}, ok, fasthttp.StatusPreconditionFailed)
}

func (s *KVServer) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit := time.After(time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond)
	record, ok := s.keys.Wait(keyOf(ctx), kv.Revision(args.GetUintOrZero("after")), limit)
	writeRecord(ctx, record, ok, fasthttp.StatusNotFound)
}

func keyOf(ctx *fasthttp.RequestCtx) string { return ctx.UserValue("key").(string) }

func writeRecord(ctx *fasthttp.RequestCtx, record kv.Record, ok bool, failure int) {
	if !ok {
		ctx.SetStatusCode(failure)
		return
	}
	writeJSON(ctx, record)
}
