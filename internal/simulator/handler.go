package simulator

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"dotterelpost.example/dotterelpost/internal/connector"
	"dotterelpost.example/dotterelpost/internal/modeler"
)

// Handler returns the HTTP handler of the whole platform. POST /faults sets the faults and GET /events
// returns the events of the workers; a real platform has neither.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/transact", p.serveTransact)
	mux.HandleFunc("POST /table/read", p.serveRead)
	mux.HandleFunc("PUT /objects/{name}", p.servePutObject)
	mux.HandleFunc("GET /objects/{name}", p.serveGetObject)
	mux.HandleFunc("DELETE /objects/{name}", p.serveDeleteObject)
	mux.HandleFunc("GET /instances", p.serveList)
	mux.HandleFunc("POST /instances", p.serveRegister)
	mux.HandleFunc("POST /workers/{worker}/{verb}", p.serveWorker)
	mux.HandleFunc("POST /faults", p.serveFaults)
	mux.HandleFunc("GET /events", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Events()) })
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	if err := json.NewDecoder(r.Body).Decode(value); err != nil {
		http.Error(w, "not the JSON that was expected: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// rejectIfTableDown waits for the table delay that is set. If the table is down, it answers the request
// with an error and returns true.
func (p *Platform) rejectIfTableDown(w http.ResponseWriter) bool {
	faults := p.currentFaults()
	if faults.TableDelay > 0 {
		<-p.clock.After(time.Duration(faults.TableDelay))
	}
	if faults.TableDown {
		http.Error(w, "the table service is down", http.StatusServiceUnavailable)
	}
	return faults.TableDown
}

func (p *Platform) serveTransact(w http.ResponseWriter, r *http.Request) {
	var transaction connector.Transaction
	if !readJSON(w, r, &transaction) || p.rejectIfTableDown(w) {
		return
	}
	outcome, allowed := p.table.transact(transaction)
	if !allowed {
		http.Error(w, "over the rate limit of writes", http.StatusTooManyRequests)
		return
	}
	if p.consumeLostReply() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, outcome)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var request connector.ReadRequest
	if !readJSON(w, r, &request) || p.rejectIfTableDown(w) {
		return
	}
	reply, allowed := p.table.read(request)
	if !allowed {
		http.Error(w, "over the rate limit of reads", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, reply)
}

func (p *Platform) rejectIfObjectsDown(w http.ResponseWriter) bool {
	down := p.currentFaults().ObjectsDown
	if down {
		http.Error(w, "the object store is down", http.StatusServiceUnavailable)
	}
	return down
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil || p.rejectIfObjectsDown(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = content
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if p.rejectIfObjectsDown(w) {
		return
	}
	p.mu.Lock()
	content, found := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, content)
}

func (p *Platform) serveDeleteObject(w http.ResponseWriter, r *http.Request) {
	if p.rejectIfObjectsDown(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, r.PathValue("name"))
}

// serveList sends all instances and the workers of the given region, or of all regions if none is
// given. It answers 304 if the client's ETag is current.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	all := p.list()
	region := r.URL.Query().Get("region")
	list := connector.InstanceList{Instances: all.Instances, Workers: []modeler.Worker{}}
	for _, worker := range all.Workers {
		if region == "" || worker.Region == region {
			list.Workers = append(list.Workers, worker)
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("\"%x\"", sha256.Sum256(text))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the client disconnected; it will request the list again.
	_, _ = w.Write(text)
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request) {
	var instance modeler.Instance
	if readJSON(w, r, &instance) {
		p.register(instance)
	}
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if readJSON(w, r, &faults) {
		p.SetFaults(faults)
	}
}

func (p *Platform) serveWorker(w http.ResponseWriter, r *http.Request) {
	target := p.workers[r.PathValue("worker")]
	if target == nil {
		http.Error(w, "no such worker", http.StatusNotFound)
		return
	}
	if target.isDead() {
		panic(http.ErrAbortHandler)
	}
	switch r.PathValue("verb") {
	case "start":
		p.serveStart(w, r, target)
	case "sync":
		p.serveSync(w, r, target)
	case "fence":
		var request connector.FenceRequest
		if readJSON(w, r, &request) {
			writeJSON(w, target.fence(request))
		}
	case "stop":
		var request connector.StopRequest
		if readJSON(w, r, &request) {
			writeJSON(w, target.stop(request))
		}
	default:
		http.Error(w, "a worker knows start, sync, fence and stop", http.StatusNotFound)
	}
}

func (p *Platform) serveStart(w http.ResponseWriter, r *http.Request, target *worker) {
	var request connector.StartRequest
	if !readJSON(w, r, &request) {
		return
	}
	reply, changed := target.start(request)
	deadline := p.clock.After(time.Duration(request.Wait))
	for reply.Accepted && reply.Ended == nil && request.Wait > 0 {
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, reply)
			return
		case <-r.Context().Done():
			return
		}
		reply.Ended, changed = target.attemptOutcome(request.Attempt)
		if changed == nil {
			// The worker restarted and no longer knows the attempt, so the connection is aborted.
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(w, reply)
}

func (p *Platform) serveSync(w http.ResponseWriter, r *http.Request, target *worker) {
	var request connector.SyncRequest
	if !readJSON(w, r, &request) {
		return
	}
	deadline := p.clock.After(time.Duration(request.Wait))
	for {
		reply, changed := target.sync(request)
		if changed == nil || request.Wait == 0 {
			writeJSON(w, reply)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, reply)
			return
		case <-r.Context().Done():
			return
		}
	}
}
