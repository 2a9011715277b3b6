package interferencedetector_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/cellplacer"
	"dotterelpost.example/dotterelpost/internal/interferencedetector"
	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/steptracker"
)

// The load of the replay: steps of up to twenty tasks of twelve images on workers that are half full. The
// estimates of steps are wrong by stepNoise, the tasks of a step differ by runNoise. Some workers are slow.
const (
	replayStep     = 50 * time.Millisecond
	replayWorkers  = 40
	replaySlots    = 8
	replayImages   = 12
	stepsPerSecond = 12
	slowFactor     = 2.5
	runNoise       = 0.2
	meanDuration   = time.Second
	residentImage  = replayImages
)

var replayStart = time.Unix(1_000_000, 0)

func image(number int) interferencedetector.Kind {
	return interferencedetector.Kind{Image: fmt.Sprint("image-", number)}
}

type replayTask struct {
	image, worker int
	estimate      time.Duration
	step          *replayStepState
	startedAt     time.Time
	mark          interferencedetector.Mark
	// work is the time that the task takes without neighbours on a sound worker, disturbed the time that
	// it has been slowed down by neighbours for.
	work, disturbed time.Duration
}

type replayStepState struct {
	step interferencedetector.Step
	left int
}

type replayWorker struct {
	tasks    []*replayTask
	presence interferencedetector.Presence
	speed    interferencedetector.Speed
	slowdown float64
}

// scenario is a load. slowdown returns by how much a task is slowed by a neighbour at a time, 1 if not at all.
type scenario struct {
	seed      uint64
	length    time.Duration
	stepNoise float64
	// load multiplies the rate of steps, slowWorkers is the number of slow workers.
	load        float64
	slowWorkers int
	slowdown    func(image, neighbour int, elapsed time.Duration) float64
	// residents is the number of workers on which a task of image residentImage runs all the time.
	residents int
}

// disturbs is the interference of most scenarios: two images slow down two others, and one slows itself.
func disturbs(image, neighbour int, _ time.Duration) float64 {
	switch [2]int{image, neighbour} {
	case [2]int{0, 1}:
		return 1.8
	case [2]int{2, 3}:
		return 2.2
	case [2]int{4, 4}:
		return 1.6
	}
	return 1
}

func independent(int, int, time.Duration) float64 { return 1 }

type replayResult struct {
	runs, disturbed int
	// lateRuns and lateDisturbed count those of the second half.
	lateRuns, lateDisturbed int
	// waited is the sum of the tasks' waits for room.
	waited time.Duration
	// found holds the time after which each pair was first found.
	found    map[[2]string]time.Duration
	detector *interferencedetector.Detector
}

type replay struct {
	scenario
	policy  string
	random  *rand.Rand
	chooser *rand.Rand
	workers []replayWorker
	result  replayResult
	waiting []*replayTask
}

// run plays a scenario under a policy: "detector", "best-fit" (the version before) or "random".
func (s scenario) run(policy string) replayResult {
	r := &replay{scenario: s, policy: policy, random: rand.New(rand.NewPCG(s.seed, 1)), chooser: rand.New(rand.NewPCG(s.seed, 2)), workers: make([]replayWorker, replayWorkers)}
	r.result = replayResult{found: make(map[[2]string]time.Duration), detector: interferencedetector.New()}
	for i := range r.workers {
		r.workers[i].slowdown = 1
		if i < s.slowWorkers {
			r.workers[i].slowdown = slowFactor
		}
	}
	for i := range s.residents {
		// The residents are on sound workers that best fit fills.
		r.start(&replayTask{image: residentImage, work: 1000 * time.Hour}, s.slowWorkers+i, 0)
	}
	for elapsed := time.Duration(0); elapsed < s.length; elapsed += replayStep {
		r.advance(elapsed)
		if r.random.Float64() < stepsPerSecond*s.load*replayStep.Seconds() {
			r.submit()
		}
		r.place(elapsed)
	}
	return r.result
}

func (r *replay) submit() {
	number, width := r.random.IntN(replayImages), 1+r.random.IntN(20)
	if r.random.IntN(3) == 0 {
		width = 1
	}
	off := math.Exp(r.stepNoise * r.random.NormFloat64())
	step := &replayStepState{left: width}
	for range width {
		work := float64(meanDuration) * off * math.Exp(runNoise*r.random.NormFloat64())
		r.waiting = append(r.waiting, &replayTask{image: number, estimate: meanDuration, step: step, work: time.Duration(work)})
	}
}

// place places the waiting tasks.
func (r *replay) place(elapsed time.Duration) {
	r.waiting = slices.DeleteFunc(r.waiting, func(task *replayTask) bool {
		chosen := r.choose(task)
		if chosen < 0 {
			r.result.waited += replayStep
			return false
		}
		r.start(task, chosen, elapsed)
		return true
	})
}

func (r *replay) start(task *replayTask, number int, elapsed time.Duration) {
	w := &r.workers[number]
	now := replayStart.Add(elapsed)
	task.worker, task.startedAt, task.mark = number, now, w.presence.Add(image(task.image), now)
	w.tasks = append(w.tasks, task)
}

func (r *replay) choose(task *replayTask) int {
	var candidates []cellplacer.Candidate
	var indexes []int
	for i := range r.workers {
		w := &r.workers[i]
		if free := replaySlots - len(w.tasks); free > 0 {
			candidate := cellplacer.Candidate{Free: modeler.Resources{Processors: modeler.Processors(free)}, Slowdown: 1}
			if r.policy == "detector" {
				for _, partner := range r.result.detector.Partners(image(task.image)) {
					if w.presence.Has(partner.Kind) {
						candidate.Interference += partner.Cost
					}
				}
			}
			candidates, indexes = append(candidates, candidate), append(indexes, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	if r.policy == "random" {
		return indexes[r.chooser.IntN(len(indexes))]
	}
	step := &steptracker.Step{Needs: modeler.Resources{Processors: 1}}
	return indexes[cellplacer.Place(candidates, cellplacer.Request{Step: step, Tasks: 1})[0]]
}

// advance lets the tasks work for one time step and ends those that are done.
func (r *replay) advance(elapsed time.Duration) {
	now := replayStart.Add(elapsed)
	for i := range r.workers {
		w := &r.workers[i]
		var present [replayImages + 1]int
		for _, task := range w.tasks {
			present[task.image]++
		}
		for _, task := range w.tasks {
			slowdown := 1.0
			for image, count := range present {
				if count > 1 || count == 1 && image != task.image {
					slowdown *= r.slowdown(task.image, image, elapsed)
				}
			}
			task.work -= time.Duration(float64(replayStep) / slowdown / w.slowdown)
			if slowdown > 1 {
				task.disturbed += replayStep
			}
		}
		w.tasks = slices.DeleteFunc(w.tasks, func(task *replayTask) bool {
			if task.work > 0 {
				return false
			}
			r.end(w, task, now)
			return true
		})
	}
}

func (r *replay) end(w *replayWorker, task *replayTask, now time.Time) {
	took := now.Sub(task.startedAt)
	task.step.left--
	late := now.Sub(replayStart) >= r.length/2
	r.result.runs++
	if late {
		r.result.lateRuns++
	}
	if task.disturbed > took/4 {
		r.result.disturbed++
		if late {
			r.result.lateDisturbed++
		}
	}
	shares := w.presence.Shares(nil, image(task.image), task.mark, now)
	w.presence.Remove(image(task.image), now)
	changes := r.result.detector.RunEnded(&task.step.step, interferencedetector.Run{
		Kind: image(task.image), Ratio: took.Seconds() / task.estimate.Seconds(), Neighbours: shares,
		Worker: fmt.Sprint("w", task.worker), Speed: &w.speed, At: now,
	}, task.step.left == 0)
	for _, change := range changes {
		key := [2]string{change.Slowed.Image, change.Neighbour.Image}
		if _, known := r.result.found[key]; change.Found && !known {
			r.result.found[key] = now.Sub(replayStart)
		}
	}
}

// disturbing are the pairs of disturbs.
var disturbing = [][2]string{{"image-0", "image-1"}, {"image-2", "image-3"}, {"image-4", "image-4"}}

func (r *replayResult) share() float64 { return float64(r.disturbed) / float64(r.runs) }

func (r *replayResult) lateShare() float64 { return float64(r.lateDisturbed) / float64(r.lateRuns) }

// TestReplayOfMixedLoad compares the detector with the version before, which places by best fit, and with a
// random choice among the workers with room.
func TestReplayOfMixedLoad(t *testing.T) {
	t.Parallel()
	for _, noise := range []float64{0.5, 0.9} {
		for _, load := range []float64{0.5, 1, 1.5} {
			s := scenario{seed: 1, length: time.Duration(float64(4*time.Minute) / load), stepNoise: noise, load: load, slowWorkers: 3, slowdown: disturbs}
			before, random, after := s.run("best-fit"), s.run("random"), s.run("detector")
			t.Logf("estimates off by %.1f, load %.1f: of %d runs in %s disturbed by best fit %.3f, at random %.3f, with the detector %.3f (%.2f avoided); in the second half %.3f, %.3f, %.3f (%.2f avoided); waits %.1f s, %.1f s, %.1f s; found after %v",
				noise, load, before.runs, s.length, before.share(), random.share(), after.share(), 1-after.share()/before.share(),
				before.lateShare(), random.lateShare(), after.lateShare(), 1-after.lateShare()/before.lateShare(),
				before.waited.Seconds(), random.waited.Seconds(), after.waited.Seconds(), after.found)
			if after.share() > 0.6*before.share() || after.lateShare() > 0.4*random.lateShare() {
				t.Errorf("%.3f of the runs are disturbed, %.3f by best fit; in the second half %.3f, %.3f at random", after.share(), before.share(), after.lateShare(), random.lateShare())
			}
			if after.waited > before.waited+before.waited/10 {
				t.Errorf("tasks waited %s for room, %s by best fit", after.waited, before.waited)
			}
			for _, pair := range disturbing {
				if _, known := after.found[pair]; !known {
					t.Errorf("pair %s not found", pair)
				}
			}
			if len(after.found) != len(disturbing) {
				t.Errorf("found %v", after.found)
			}
		}
	}
}

// TestFalseAccusations: of 144 pairs a seed, of which none or three disturb, at most one in all seeds is
// accused falsely, although a tenth of the workers is slow.
func TestFalseAccusations(t *testing.T) {
	t.Parallel()
	accused, found := 0, 0
	for seed := range uint64(12) {
		for _, slowdown := range []func(int, int, time.Duration) float64{independent, disturbs} {
			result := scenario{seed: seed, length: 2 * time.Minute, stepNoise: 0.9, load: 1, slowWorkers: 4, slowdown: slowdown}.run("best-fit")
			for pair, after := range result.found {
				if slices.Contains(disturbing, pair) {
					found++
					continue
				}
				accused++
				t.Logf("seed %d: %s accused after %s", seed, pair, after)
			}
		}
	}
	t.Logf("%d pairs accused falsely, %d of %d found", accused, found, 12*len(disturbing))
	if accused > 1 || found < 12*len(disturbing)*9/10 {
		t.Errorf("%d pairs accused falsely, %d of %d found", accused, found, 12*len(disturbing))
	}
}

// TestResidentNeighbour: a neighbour that always runs on the same workers is told from slow workers.
func TestResidentNeighbour(t *testing.T) {
	t.Parallel()
	slowdown := func(image, neighbour int, _ time.Duration) float64 {
		if image == 6 && neighbour == residentImage {
			return 1.8
		}
		return 1
	}
	result := scenario{seed: 3, length: 4 * time.Minute, stepNoise: 0.7, load: 1, slowWorkers: 3, slowdown: slowdown, residents: 8}.run("best-fit")
	if len(result.found) != 1 || result.found[[2]string{"image-6", "image-12"}] == 0 {
		t.Errorf("found %v, want the resident neighbour of image-6", result.found)
	}
}

// TestPairIsCleared: a pair is cleared when it has stopped to disturb, or when its evidence is old.
func TestPairIsCleared(t *testing.T) {
	t.Parallel()
	s := scenario{seed: 5, length: 2 * time.Minute, stepNoise: 0.5, load: 1.5, slowdown: disturbs}
	result := s.run("best-fit")
	if result.detector.Found() != len(disturbing) {
		t.Fatalf("%d pairs known, want %d", result.detector.Found(), len(disturbing))
	}
	if result.detector.Expire(replayStart.Add(time.Hour)); result.detector.Found() != len(disturbing) {
		t.Errorf("%d pairs known after an hour, want %d", result.detector.Found(), len(disturbing))
	}
	if changes := result.detector.Expire(replayStart.Add(24 * time.Hour)); len(changes) != len(disturbing) || result.detector.Found() != 0 {
		t.Errorf("%d pairs known after a day, want none; changes %v", result.detector.Found(), changes)
	}
	s.length = 10 * time.Minute
	s.slowdown = func(image, neighbour int, elapsed time.Duration) float64 {
		if elapsed > 2*time.Minute {
			return 1
		}
		return disturbs(image, neighbour, elapsed)
	}
	if result := s.run("best-fit"); len(result.found) < len(disturbing) || result.detector.Found() != 0 {
		t.Errorf("%d pairs known eight minutes after the end of the interference, want none; found before %v", result.detector.Found(), result.found)
	}
}
