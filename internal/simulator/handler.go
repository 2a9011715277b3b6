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

// Handler serves the whole platform. POST /faults sets the faults and GET /events reads the
// record of the workers; a real platform has neither.
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

// refuseTable answers for a table that is down, after the delay that is switched on.
func (p *Platform) refuseTable(w http.ResponseWriter) bool {
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
	if !readJSON(w, r, &transaction) || p.refuseTable(w) {
		return
	}
	outcome, allowed := p.table.transact(transaction)
	if !allowed {
		http.Error(w, "over the rate limit of writes", http.StatusTooManyRequests)
		return
	}
	if p.takeLostReply() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, outcome)
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var ask connector.ReadRequest
	if !readJSON(w, r, &ask) || p.refuseTable(w) {
		return
	}
	reply, allowed := p.table.read(ask)
	if !allowed {
		http.Error(w, "over the rate limit of reads", http.StatusTooManyRequests)
		return
	}
	writeJSON(w, reply)
}

func (p *Platform) refuseObjects(w http.ResponseWriter) bool {
	down := p.currentFaults().ObjectsDown
	if down {
		http.Error(w, "the object store is down", http.StatusServiceUnavailable)
	}
	return down
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(r.Body)
	if err != nil || p.refuseObjects(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.objects[r.PathValue("name")] = content
}

func (p *Platform) serveGetObject(w http.ResponseWriter, r *http.Request) {
	if p.refuseObjects(w) {
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
	if p.refuseObjects(w) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.objects, r.PathValue("name"))
}

// serveList sends the workers of one region and all entry instances, unless the asker has them.
func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	shown := p.list()
	region := r.URL.Query().Get("region")
	list := connector.InstanceList{Instances: shown.Instances, Workers: []modeler.Worker{}}
	for _, worker := range shown.Workers {
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
	// The asker went away if this fails, and will ask again.
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
		var ask connector.FenceRequest
		if readJSON(w, r, &ask) {
			writeJSON(w, target.fence(ask))
		}
	case "stop":
		var ask connector.StopRequest
		if readJSON(w, r, &ask) {
			writeJSON(w, target.stop(ask))
		}
	default:
		http.Error(w, "a worker knows start, sync, fence and stop", http.StatusNotFound)
	}
}

func (p *Platform) serveStart(w http.ResponseWriter, r *http.Request, target *worker) {
	var ask connector.StartRequest
	if !readJSON(w, r, &ask) {
		return
	}
	reply, changed := target.start(ask)
	deadline := p.clock.After(time.Duration(ask.Wait))
	for reply.Accepted && reply.Ended == nil && ask.Wait > 0 {
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, reply)
			return
		case <-r.Context().Done():
			return
		}
		reply.Ended, changed = target.lookUp(ask.Attempt)
		if changed == nil {
			// The worker restarted meanwhile: whatever it says now is about another boot.
			panic(http.ErrAbortHandler)
		}
	}
	writeJSON(w, reply)
}

func (p *Platform) serveSync(w http.ResponseWriter, r *http.Request, target *worker) {
	var ask connector.SyncRequest
	if !readJSON(w, r, &ask) {
		return
	}
	deadline := p.clock.After(time.Duration(ask.Wait))
	for {
		reply, changed := target.sync(ask)
		if changed == nil || ask.Wait == 0 {
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
