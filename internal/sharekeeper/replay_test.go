package sharekeeper_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dotterelpost.example/dotterelpost/internal/modeler"
	"dotterelpost.example/dotterelpost/internal/prioritizer"
	"dotterelpost.example/dotterelpost/internal/sharekeeper"
)

// The replay plays half a minute of twenty teams on one pool of processors, in which tasks start as soon as
// they have room. One team sends several times its usual for some seconds.
const (
	replayTeams    = 20
	replaySkew     = 1.2
	replayTick     = 100 * time.Millisecond
	replayLength   = 34 * time.Second
	hotFrom        = 9 * time.Second
	hotUntil       = 15500 * time.Millisecond
	replayLoad     = 1.05
	maxReplayTries = 5
)

// kind is a kind of request. worth is what a result in time is worth; a late one is worth a fifth.
type kind struct {
	name             string
	priority, tasks  int
	processors, rate float64
	duration, target time.Duration
	stretch, worth   float64
}

var kinds = []kind{
	{"quick", 0, 3, 5, 60.1, time.Second, 600 * time.Millisecond, 1.5, 0.407},
	{"wide", 1, 20, 9, 3.25, 5 * time.Second, 1200 * time.Millisecond, 2.2, 8.62},
	{"batch", 2, 37, 3.5, 9.31, 3400 * time.Millisecond, 3 * time.Second, 4, 3.25},
}

// request is a job of the replay.
type request struct {
	kind, team, tasks, running, tries int
	sentAt                            time.Time
	duration, objective               time.Duration
	owed                              bool
	standing                          sharekeeper.Standing
	tag                               float64
	rank                              prioritizer.Rank
}

// world is the state of the replay; order sorts the waiting requests before each tick's starts.
type world struct {
	now            time.Time
	capacity, free float64
	keeper         *sharekeeper.Keeper
	weights, used  []float64
	waiting        []*request
	ends           map[time.Time][]*request
	virtualTime    float64
	finishTags     []float64
	refuses        bool
	refusals, lost int
}

// policy is a way to order the waiting requests; refuses is set if it refuses requests beyond a share.
type policy struct {
	name    string
	order   func(w *world)
	compare func(a, b *request) int
	refuses bool
}

func byRank(a, b *request) int {
	return cmp.Or(a.rank.Compare(b.rank), a.sentAt.Compare(b.sentAt))
}

// byClass returns an order by the classes of tier and standing, then by priority and deadline.
func byClass(classOf func(tier prioritizer.Tier, beyond int) int) func(a, b *request) int {
	class := func(r *request) int { return classOf(r.rank.Tier, int(r.standing)) }
	return func(a, b *request) int { return cmp.Or(cmp.Compare(class(a), class(b)), byRank(a, b)) }
}

// withShares puts work beyond shares last.
func withShares(a, b *request) int {
	first, second := a.rank, b.rank
	first.BeyondShare, second.BeyondShare = a.standing == sharekeeper.Beyond, b.standing == sharekeeper.Beyond
	return cmp.Or(first.Compare(second), a.sentAt.Compare(b.sentAt))
}

// orderInUse is the order of the scheduler.
func orderInUse(w *world) {
	slices.SortStableFunc(w.waiting, byRank)
	steps := make([]sharekeeper.Waiting, len(w.waiting))
	for i, r := range w.waiting {
		steps[i] = sharekeeper.Waiting{Work: r.work(), Standing: r.standing, Slack: r.rank.Slack}
	}
	if w.pool().BeyondMustYield(steps) {
		slices.SortStableFunc(w.waiting, withShares)
	}
}

func (r *request) work() sharekeeper.Work {
	return sharekeeper.WorkOf(r.tasks, modeler.ProcessorsOf(kinds[r.kind].processors), r.duration)
}

func (w *world) pool() sharekeeper.Pool {
	return sharekeeper.Pool{Capacity: modeler.ProcessorsOf(w.capacity), Free: modeler.ProcessorsOf(w.free)}
}

// tiers is the number of tiers.
const tiers = int(prioritizer.TierExpired) + 1

// policies are the ways to order the waiting requests that were weighed. The last is the one in use.
var policies = []policy{
	{name: "first come, first served", compare: func(a, b *request) int { return a.sentAt.Compare(b.sentAt) }},
	{name: "rank (the version before)", compare: byRank},
	{name: "dominant share", order: orderByShare},
	{name: "start-time fair queueing", compare: func(a, b *request) int { return cmp.Or(cmp.Compare(a.tag, b.tag), byRank(a, b)) }},
	{name: "marks within a tier", compare: byClass(func(tier prioritizer.Tier, beyond int) int { return 2*int(tier) + beyond })},
	{name: "marks before all tiers", compare: byClass(func(tier prioritizer.Tier, beyond int) int { return int(tier) + tiers*beyond })},
	{name: "marks, expired work last", compare: withShares},
	{name: "marks where others would be late", order: orderInUse},
	{name: "the same with refusals", order: orderInUse, refuses: true},
}

// orderByShare takes turns among the teams: next is always the one that uses the least by its weight.
func orderByShare(w *world) {
	slices.SortStableFunc(w.waiting, byRank)
	byTeam := make([][]*request, replayTeams)
	for _, r := range w.waiting {
		byTeam[r.team] = append(byTeam[r.team], r)
	}
	used := slices.Clone(w.used)
	w.waiting = w.waiting[:0]
	for {
		next := -1
		for team := range byTeam {
			if len(byTeam[team]) > 0 && (next < 0 || used[team]/w.weights[team] < used[next]/w.weights[next]) {
				next = team
			}
		}
		if next < 0 {
			return
		}
		r := byTeam[next][0]
		byTeam[next] = byTeam[next][1:]
		used[next] += float64(r.tasks) * kinds[r.kind].processors
		w.waiting = append(w.waiting, r)
	}
}

// arrivals returns the requests of a day by the tick in which they are sent.
func arrivals(seed uint64, weights []float64, hotTeam int, factor float64, judgeWindow bool) [][]*request {
	random := rand.New(rand.NewPCG(seed, 1))
	judge := sharekeeper.New()
	begin := time.Unix(1_000_000, 0)
	sent := make([][]time.Time, replayTeams)
	ticks := make([][]*request, replayLength/replayTick)
	for tick := range ticks {
		elapsed := time.Duration(tick) * replayTick
		wave := 1 + 0.27*math.Sin(2*math.Pi*elapsed.Seconds()/11)
		for team := range replayTeams {
			heat := 1.0
			if team == hotTeam && elapsed >= hotFrom && elapsed < hotUntil {
				heat = factor
			}
			for k, of := range kinds {
				mean := of.rate * usualShare(team) * wave * heat * replayTick.Seconds()
				for limit, product := math.Exp(-mean), random.Float64(); product > limit; product *= random.Float64() {
					duration := time.Duration(float64(of.duration) * (0.5 + random.Float64()))
					r := &request{
						kind: k, team: team, tasks: max(1, int(float64(of.tasks)*2*random.Float64())), duration: duration,
						sentAt: begin.Add(elapsed), objective: time.Duration(of.stretch*float64(duration)) + of.target,
					}
					// A request is owed unless its team was owed as many as its weight within the second before.
					if r.owed = judge.Mark(fmt.Sprint(team), weights[team], r.sentAt) == sharekeeper.Within; judgeWindow {
						// A request is owed unless its team was owed as many as its weight within the second before.
						recent := slices.DeleteFunc(sent[team], func(at time.Time) bool { return r.sentAt.Sub(at) >= time.Second })
						if r.owed = float64(len(recent)) < max(1, weights[team]); r.owed {
							recent = append(recent, r.sentAt)
						}
						sent[team] = recent
					}
					ticks[tick] = append(ticks[tick], r)
				}
			}
		}
	}
	return ticks
}

// usualShare returns the part of all requests that a team sends as a rule.
func usualShare(team int) float64 {
	sum := 0.0
	for i := range replayTeams {
		sum += math.Pow(float64(i+1), -replaySkew)
	}
	return math.Pow(float64(team+1), -replaySkew) / sum
}

// play returns what the requests have earned.
func play(p policy, hotTeam int, factor float64, judgeWindow bool) result {
	w := &world{
		now: time.Unix(1_000_000, 0), keeper: sharekeeper.New(), ends: make(map[time.Time][]*request), weights: make([]float64, replayTeams),
		used: make([]float64, replayTeams), finishTags: make([]float64, replayTeams), refuses: p.refuses,
	}
	rate := 0.0
	for _, k := range kinds {
		rate += k.rate
		w.capacity += k.rate * float64(k.tasks) * k.processors * k.duration.Seconds() / replayLoad
	}
	for team := range w.weights {
		w.weights[team] = max(1, rate*usualShare(team))
	}
	w.free = w.capacity
	ticks := arrivals(7, w.weights, hotTeam, factor, judgeWindow)
	again := make(map[time.Time][]*request)
	random := rand.New(rand.NewPCG(11, 2))
	r := newResult()
	for tick := range 4 * len(ticks) {
		for _, ended := range w.ends[w.now] {
			w.free += kinds[ended.kind].processors
			w.used[ended.team] -= kinds[ended.kind].processors
			if ended.running--; ended.running == 0 && ended.tasks == 0 {
				r.earn(ended, w.now)
			}
		}
		for _, back := range again[w.now] {
			w.submit(back, again, random)
		}
		if tick < len(ticks) {
			for _, sent := range ticks[tick] {
				r.owe(sent)
				w.submit(sent, again, random)
			}
		}
		for _, waiting := range w.waiting {
			waiting.rank = w.rankOf(waiting)
		}
		if p.order != nil {
			p.order(w)
		} else {
			slices.SortStableFunc(w.waiting, p.compare)
		}
		w.start()
		w.now = w.now.Add(replayTick)
	}
	r.refusals, r.lost = w.refusals, w.lost
	return r
}

func (w *world) rankOf(r *request) prioritizer.Rank {
	k := kinds[r.kind]
	return prioritizer.RankOf(prioritizer.WaitingStep{
		AcceptedAt: r.sentAt, Priority: k.priority, Stretch: k.stretch, Target: k.target, CriticalPath: r.duration, RemainingTime: r.duration,
	}, w.now)
}

// submit accepts a request, or sends it again later.
func (w *world) submit(r *request, again map[time.Time][]*request, random *rand.Rand) {
	team, weight := fmt.Sprint(r.team), w.weights[r.team]
	if w.refuses && w.keeper.Peek(team, weight, w.now) == sharekeeper.Beyond {
		r.rank, r.standing = w.rankOf(r), sharekeeper.Beyond
		var ahead sharekeeper.Work
		for _, other := range w.waiting {
			if byRank(other, r) < 0 {
				ahead = ahead.Plus(other.work())
			}
		}
		decision := w.pool().Admit(ahead, sharekeeper.Request{Work: r.work(), Duration: r.duration, Objective: r.objective}, random.Float64())
		if decision.Refused {
			w.refusals++
			if r.tries++; r.tries >= maxReplayTries {
				w.lost++
				return
			}
			at := w.now.Add(decision.RetryAfter.Truncate(replayTick) + replayTick)
			again[at] = append(again[at], r)
			return
		}
	}
	r.standing = w.keeper.Mark(team, weight, w.now)
	r.tag = max(w.virtualTime, w.finishTags[r.team])
	w.finishTags[r.team] = r.tag + 1/weight
	w.waiting = append(w.waiting, r)
}

// start starts as many tasks as there is room for, in order.
func (w *world) start() {
	waiting := w.waiting[:0]
	for _, r := range w.waiting {
		needs := kinds[r.kind].processors
		for r.tasks > 0 && needs <= w.free {
			w.free -= needs
			w.used[r.team] += needs
			r.tasks--
			r.running++
			w.virtualTime = max(w.virtualTime, r.tag)
			at := w.now.Add(max(replayTick, r.duration.Round(replayTick)))
			w.ends[at] = append(w.ends[at], r)
		}
		if r.tasks > 0 {
			waiting = append(waiting, r)
		}
	}
	w.waiting = waiting
}

// result holds what was owed and earned by team and by kind, and how the requests beyond the shares fared.
type result struct {
	owed, earned         map[string]float64
	beyond, beyondInTime *int
	refusals, lost       int
}

func (r result) String() string {
	return fmt.Sprintf("day %.3f, worst teams %.3f, worst kind %.3f; beyond in time %d of %d, refusals %d, lost %d",
		r.day(), r.worstTeams(), r.worstKind(), *r.beyondInTime, *r.beyond, r.refusals, r.lost)
}

func newResult() result {
	return result{owed: make(map[string]float64), earned: make(map[string]float64), beyond: new(int), beyondInTime: new(int)}
}

func keysOf(r *request) []string {
	return []string{"day", fmt.Sprint("team-", r.team), "kind-" + kinds[r.kind].name}
}

func (r result) owe(sent *request) {
	if !sent.owed {
		*r.beyond++
		return
	}
	for _, key := range keysOf(sent) {
		r.owed[key] += kinds[sent.kind].worth
	}
}

func (r result) earn(ended *request, now time.Time) {
	took := now.Sub(ended.sentAt)
	worth := kinds[ended.kind].worth
	switch {
	case !ended.owed && took <= ended.objective:
		*r.beyondInTime++
		return
	case !ended.owed || took > 3*ended.objective:
		return
	case took > ended.objective:
		worth /= 5
	}
	for _, key := range keysOf(ended) {
		r.earned[key] += worth
	}
}

// day, worstTeams and worstKind return shares of what was owed; worstTeams is the mean of the worst tenth.
func (r result) day() float64 { return r.earned["day"] / r.owed["day"] }

func (r result) worstTeams() float64 {
	var shares []float64
	for team := range replayTeams {
		key := fmt.Sprint("team-", team)
		shares = append(shares, r.earned[key]/r.owed[key])
	}
	slices.Sort(shares)
	return (shares[0] + shares[1]) / 2
}

func (r result) worstKind() float64 {
	worst := 1.0
	for _, k := range kinds {
		worst = min(worst, r.earned["kind-"+k.name]/r.owed["kind-"+k.name])
	}
	return worst
}

// TestReplayOfHotTeam compares the orders of waiting work on one replay. What is owed is judged by a
// sliding window in one part and by the keeper's own marks in the other, so that the choice does not rest on
// knowing the judge.
func TestReplayOfHotTeam(t *testing.T) {
	for _, hot := range []struct {
		team        int
		factor      float64
		judgeWindow bool
	}{{0, 4, false}, {0, 7.5, false}, {3, 7.5, false}, {0, 4, true}, {0, 7.5, true}, {3, 7.5, true}} {
		results := make([]result, len(policies))
		for i, p := range policies {
			results[i] = play(p, hot.team, hot.factor, hot.judgeWindow)
			t.Logf("team %d at %.1f, window %t: %-35s %v", hot.team, hot.factor, hot.judgeWindow, p.name, results[i])
		}
		chosen := results[len(results)-1]
		for i, other := range results[:2] {
			if hot.factor == 7.5 && hot.team == 0 && (chosen.day() <= other.day() || chosen.worstTeams() <= other.worstTeams() || chosen.worstKind() <= other.worstKind()) {
				t.Errorf("team %d at %.1f: %v with shares, %v with %s", hot.team, hot.factor, chosen, other, policies[i].name)
			}
		}
		if !hot.judgeWindow && chosen.worstTeams() < 0.95 {
			t.Errorf("team %d at %.1f: the worst teams get %.3f of what they are owed, want at least 0.95", hot.team, hot.factor, chosen.worstTeams())
		}
	}
}
