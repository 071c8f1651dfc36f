/* Releases of the engines' software in a soak, one after the other, with losses of all hosts in the middle of a
   release, while the last engines of the earlier version leave, and just after these have ended. */
#include "../standins/standin.h"
#include "soak_site.h"

#define BEGIN_MIN_MS 200
#define BEGIN_SPREAD_MS 600
#define STEP_MIN_MS 80
#define STEP_SPREAD_MS 80
#define UPGRADE_MIN_MS 300 /* from the exit of an engine to its start in place */
#define UPGRADE_SPREAD_MS 500
#define LOSS_AT_END_SPREAD_MS 3500 /* longer than the engines that are replaced go on serving */
#define SOURCE_AWAY_MS 3000        /* during the upgrades in place, at least */

/* The series of a fault phase. Phases take them in turn, from the one that the seed selects. */
typedef struct series_t {
    bool is_in_place, takes_source_away, loses_hosts_in_middle, loses_hosts_at_end;
    uint32_t releases;
} series_t;

static const series_t all_series[] = {
    {.releases = 1, .loses_hosts_in_middle = true},
    {.releases = 1, .takes_source_away = true, .loses_hosts_at_end = true},
    {.releases = 1, .is_in_place = true, .takes_source_away = true, .loses_hosts_in_middle = true},
    {.releases = 2, .loses_hosts_in_middle = true, .loses_hosts_at_end = true},
    {.releases = 1, .is_in_place = true, .takes_source_away = true},
};
#define SERIES_COUNT (sizeof(all_series) / sizeof(all_series[0]))

static bool is_earlier(const proc_t* p) {
    return p->kind == PROC_UPSTREAM && p->is_engine && p->pid && p->version < p->soak->version;
}

/* Returns a random engine of an earlier version that can be replaced now, or NULL. */
static proc_t* pick_earlier(soak_t* s) {
    uint32_t count = 0;
    proc_t* picked = NULL;
    for (uint32_t i = 0; i < s->proc_count; i++) {
        proc_t* p = &s->procs[i];
        bool is_eligible = is_earlier(p) && p->is_ready && !p->is_leaving && !soak_is_target(s, p);
        if (is_eligible && soak_random(s) % ++count == 0) {
            picked = p;
        }
    }
    return picked;
}

static bool has_earlier(const soak_t* s) {
    for (uint32_t i = 0; i < s->proc_count; i++) {
        if (is_earlier(&s->procs[i]) && !s->procs[i].is_leaving) {
            return true;
        }
    }
    return false;
}

static uint32_t count_engines(const soak_t* s) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < s->proc_count; i++) {
        const proc_t* p = &s->procs[i];
        count += p->kind == PROC_UPSTREAM && p->is_engine && p->pid && !p->is_leaving;
    }
    return count;
}

static void replace(soak_t* s, proc_t* engine) {
    soak_releases_t* r = &s->releases;
    if (r->is_in_place) {
        soak_begin_fault(s, "upgrade", engine, UPGRADE_MIN_MS + (int64_t)(soak_random(s) % UPGRADE_SPREAD_MS));
    } else {
        soak_begin_fault(s, "replace", engine, 0); /* sets its own duration */
    }
    if (r->steps_to_loss && --r->steps_to_loss == 0) {
        soak_lose_all_hosts(s, r->takes_source_away);
    }
}

static void on_loss_at_end(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    soak_lose_all_hosts(s, s->releases.takes_source_away);
}

static void on_step(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    soak_t* s = w->data;
    soak_releases_t* r = &s->releases;
    if (standin_now_ms() >= s->faults_until_ms) {
        return;
    }
    proc_t* engine = pick_earlier(s);
    if (engine) {
        replace(s, engine);
    } else if (r->remaining && !has_earlier(s)) {
        r->remaining--;
        s->version++;
    } else if (!has_earlier(s)) {
        if (r->loses_hosts_at_end) {
            ev_set_cb(&r->timer, on_loss_at_end);
            soak_start_timer(s, &r->timer, (int64_t)(soak_random(s) % LOSS_AT_END_SPREAD_MS));
        }
        return;
    }
    soak_start_timer(s, &r->timer, r->step_ms);
}

void soak_releases_begin(soak_t* s) {
    soak_releases_t* r = &s->releases;
    const series_t* series = &all_series[(s->seed + s->phase_count) % SERIES_COUNT];
    ev_timer_stop(s->loop, &r->timer);
    *r = (soak_releases_t){.is_in_place = series->is_in_place,
                           .loses_hosts_at_end = series->loses_hosts_at_end,
                           .takes_source_away = series->takes_source_away,
                           .remaining = series->releases - 1,
                           .step_ms = STEP_MIN_MS + (int64_t)(soak_random(s) % STEP_SPREAD_MS)};
    if (series->loses_hosts_in_middle) {
        r->steps_to_loss = 1 + (uint32_t)(soak_random(s) % (count_engines(s) + !count_engines(s)));
    }
    s->version++;
    ev_timer_init(&r->timer, on_step, 0.0, 0.0);
    r->timer.data = s;
    soak_start_timer(s, &r->timer, BEGIN_MIN_MS + (int64_t)(soak_random(s) % BEGIN_SPREAD_MS));
    if (r->is_in_place && r->takes_source_away) {
        soak_take_source_away(s, SOURCE_AWAY_MS);
    }
}

void soak_releases_stop(soak_t* s) {
    ev_timer_stop(s->loop, &s->releases.timer);
}
