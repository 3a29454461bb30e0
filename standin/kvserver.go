package standin

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"junctioncross/kv"
)

// Faults says how the key-value service misbehaves.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool `json:"down"`
	// SlowMS delays every call, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers lets the next writes take effect and closes their connections without an answer.
	LoseAnswers int64 `json:"lose_answers"`
	// CallsPerSecond refuses calls above that rate; zero means no limit.
	CallsPerSecond int64 `json:"calls_per_second"`
}

// KeyServer answers the key-value service's HTTP calls.
type KeyServer struct {
	keys   *Keys
	faults atomic.Pointer[Faults]
	lose   atomic.Int64
	second atomic.Int64
	calls  atomic.Int64
	total  atomic.Int64
}

// NewKeyServer returns a server over keys that has no faults.
func NewKeyServer(keys *Keys) *KeyServer {
	s := &KeyServer{keys: keys}
	s.faults.Store(&Faults{})
	return s
}

// Handler returns the service's HTTP handler.
func (s *KeyServer) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/kv/{key:*}", s.guard(s.get))
	r.PUT("/kv/{key:*}", s.guard(s.put))
	r.DELETE("/kv/{key:*}", s.guard(s.remove))
	r.GET("/list", s.guard(s.list))
	r.GET("/watch/{key:*}", s.guard(s.watch))
	r.POST("/faults", s.setFaults)
	r.GET("/calls", func(ctx *fasthttp.RequestCtx) { writeJSON(ctx, s.total.Load()) })
	return r.Handler
}

func (s *KeyServer) setFaults(ctx *fasthttp.RequestCtx) {
	var f Faults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s.lose.Store(f.LoseAnswers)
	s.faults.Store(&f)
}

// guard applies the faults in front of a call.
func (s *KeyServer) guard(next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		f := s.faults.Load()
		s.total.Add(1)
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

func (s *KeyServer) countCall() int64 {
	now := time.Now().Unix()
	if s.second.Swap(now) != now {
		s.calls.Store(0)
	}
	return s.calls.Add(1)
}

func (s *KeyServer) get(ctx *fasthttp.RequestCtx) {
	record, ok := s.keys.Get(keyOf(ctx))
	answerRecord(ctx, record, ok, fasthttp.StatusNotFound)
}

func (s *KeyServer) list(ctx *fasthttp.RequestCtx) {
	writeJSON(ctx, s.keys.List(string(ctx.QueryArgs().Peek("prefix"))))
}

func (s *KeyServer) put(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	record, ok := s.keys.Write(kv.Put{
		Key:    keyOf(ctx),
		Value:  append([]byte(nil), ctx.PostBody()...),
		Expect: kv.Revision(args.GetUintOrZero("expect")),
		TTL:    time.Duration(args.GetUintOrZero("ttl_ms")) * time.Millisecond,
	})
	if ok && s.lose.Add(-1) >= 0 {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(closeConnection)
		return
	}
	answerRecord(ctx, record, ok, fasthttp.StatusPreconditionFailed)
}

func (s *KeyServer) remove(ctx *fasthttp.RequestCtx) {
	ok := s.keys.Delete(keyOf(ctx), kv.Revision(ctx.QueryArgs().GetUintOrZero("expect")))
	answerRecord(ctx, kv.Record{}, ok, fasthttp.StatusPreconditionFailed)
}

func (s *KeyServer) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit := time.After(time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond)
	record, ok := s.keys.Wait(keyOf(ctx), kv.Revision(args.GetUintOrZero("after")), limit)
	answerRecord(ctx, record, ok, fasthttp.StatusNotFound)
}

func keyOf(ctx *fasthttp.RequestCtx) string { return ctx.UserValue("key").(string) }

func answerRecord(ctx *fasthttp.RequestCtx, record kv.Record, ok bool, failure int) {
	if !ok {
		ctx.SetStatusCode(failure)
		return
	}
	writeJSON(ctx, record)
}
