#ifndef CW_TEST_POOL_MODEL_H
#define CW_TEST_POOL_MODEL_H
/*
    Many hosts before one pool of engines, on one clock and without a network: each host decides with its own
    chalkway_balance.h and hears of the others' load as late as between processes. Engines have places, read prompts one
    after the other and then generate; a dead one breaks what it is sent, and goes on with what it had. Requests come by
   chance, by seed.

    What it leaves out: memory of engines, kept parts, preemption (a run too many is counted instead), processor time.
*/
#include <stdlib.h>
#include <string.h>

#include "../chalkway_balance.h"
#include "../chalkway_turn.h"
#include "rng.h"

#define MODEL_HOSTS_MAX 96
#define MODEL_ENGINES_MAX 160
#define MODEL_KINDS_MAX 4
#define MODEL_RUNS_MAX 8192
#define MODEL_NEWS_MAX 65536
#define MODEL_REPEAT_MS 480 /* news is told again after so long */
#define MODEL_BREAK_MS 3    /* until a connection to a dead engine is seen to break */

/* A kind of request. */
typedef struct model_kind_t {
    cw_work_t work;
    double per_s;         /* of all hosts */
    uint32_t generate_ms; /* mean time from the first event to the end */
    uint32_t leaves_ms;   /* its caller is gone after so long */
    /* counted */
    uint32_t asked, served, refused, broken;
} model_kind_t;

typedef enum model_stage_t {
    MODEL_FREE = 0,
    MODEL_WAITING,
    MODEL_READING,
    MODEL_GENERATING,
    MODEL_BREAKING
} model_stage_t;

typedef struct model_run_t {
    model_stage_t stage;
    uint32_t host, kind, engine;
    cw_work_t work;
    int64_t asked_ms;
    cw_turn_wait_t wait; /* for a place */
    int64_t until_ms;    /* of the stage, but while its prompt is read */
    double unread_ms;    /* left of its prompt */
    uint32_t sent;       /* in the order of sending, over all hosts */
    uint32_t generate_ms;
    cw_run_t run;
} model_run_t;

typedef struct model_engine_t {
    uint64_t id;
    uint32_t running;
    model_run_t* reading; /* the prompt that is read now, NULL: none */
    int64_t dead_from_ms, dead_until_ms;
} model_engine_t;

typedef struct model_news_t {
    int64_t at_ms;
    uint32_t host, engine;
    cw_load_t load;
} model_news_t;

/* News under way, in the order of sending. */
typedef struct model_wire_t {
    model_news_t news[MODEL_NEWS_MAX];
    uint32_t first, count;
} model_wire_t;

typedef struct model_t {
    uint32_t hosts, engines, kinds, places;
    uint32_t news_ms;         /* until news reaches the others */
    uint32_t direct_ms;       /* until it reaches the other home hosts of the engine */
    double read_ms_per_token; /* of an engine */
    uint64_t ids[MODEL_HOSTS_MAX];
    cw_balance_t* balance[MODEL_HOSTS_MAX];
    model_engine_t engine[MODEL_ENGINES_MAX];
    model_kind_t kind[MODEL_KINDS_MAX];
    model_run_t run[MODEL_RUNS_MAX];
    model_wire_t wire[2]; /* to the engine's home hosts directly; to all */
    bool home[MODEL_ENGINES_MAX][MODEL_HOSTS_MAX];
    rng_t rng;
    bool waits[MODEL_HOSTS_MAX]; /* some request waited at the host a moment ago */
    int64_t now_ms;
    uint32_t sent;                        /* runs that reached an engine */
    uint32_t too_many;                    /* runs begun at an engine without a free place */
    uint32_t avoidable;                   /* broken sends that another host's news could have prevented */
    int64_t failed_ms[MODEL_ENGINES_MAX]; /* first failure there since it was well, 0: none */
    double place_ms, run_ms, overload_ms; /* integrals: places of the living, places taken, and time, while some wait */
} model_t;

static inline void model_setup(model_t* m, uint64_t seed) {
    cw_server_spec_t specs[MODEL_ENGINES_MAX];
    m->rng.state = seed;
    m->now_ms = 1000;
    for (uint32_t i = 0; i < m->engines; i++) {
        m->engine[i].id = cw_mix(seed, i + 1);
        specs[i] = (cw_server_spec_t){.id = m->engine[i].id, .slots = m->places, .memory_tokens = 10000000};
    }
    cw_fleet_t fleet = {.ids = m->ids, .count = m->hosts, .reach_ms = m->news_ms, .direct_ms = m->direct_ms};
    for (uint32_t i = 0; i < m->hosts; i++) {
        m->ids[i] = cw_mix(seed, 1000 + i);
    }
    for (uint32_t i = 0; i < m->hosts; i++) {
        m->balance[i] = cw_balance_setup(&(cw_balance_desc_t){.seed = m->ids[i], .max_parts = 64});
        cw_balance_set(m->balance[i], m->now_ms, specs, m->engines);
        cw_balance_set_fleet(m->balance[i], m->now_ms, &fleet);
        for (uint32_t k = 0; k < m->engines; k++) {
            m->home[k][i] = cw_home_is(m->engine[k].id, m->ids[i], m->ids, m->hosts);
        }
    }
}

static inline void model_shutdown(model_t* m) {
    for (uint32_t i = 0; i < m->hosts; i++) {
        cw_balance_shutdown(m->balance[i]);
    }
}

static inline void model_put(model_wire_t* wire, const model_news_t* news) {
    if (wire->count == MODEL_NEWS_MAX) {
        abort();
    }
    wire->news[(wire->first + wire->count++) % MODEL_NEWS_MAX] = *news;
}

/* The host tells what it has at the engine. */
static inline void model_tell(model_t* m, uint32_t host, uint32_t engine) {
    uint32_t at = cw_balance_find(m->balance[host], m->engine[engine].id);
    model_news_t news = {.at_ms = m->now_ms + m->direct_ms,
                         .host = host,
                         .engine = engine,
                         .load = cw_balance_load(m->balance[host], m->now_ms, at)};
    if (m->home[engine][host]) {
        model_put(&m->wire[0], &news);
    }
    news.at_ms = m->now_ms + m->news_ms;
    model_put(&m->wire[1], &news);
}

/* What did not change is told again, by one host after the other. */
static inline void model_repeat(model_t* m) {
    for (uint32_t i = 0; i < m->hosts; i++) {
        if ((m->now_ms + i * MODEL_REPEAT_MS / m->hosts) % MODEL_REPEAT_MS) {
            continue;
        }
        for (uint32_t k = 0; k < m->engines; k++) {
            uint32_t at = cw_balance_find(m->balance[i], m->engine[k].id);
            if (cw_balance_load(m->balance[i], m->now_ms, at).running) {
                model_tell(m, i, k);
            }
        }
    }
}

static inline void model_hear(model_t* m, uint32_t which) {
    model_wire_t* wire = &m->wire[which];
    while (wire->count && wire->news[wire->first].at_ms <= m->now_ms) {
        const model_news_t* n = &wire->news[wire->first];
        for (uint32_t i = 0; i < m->hosts; i++) {
            if (i != n->host && (which || m->home[n->engine][i])) {
                cw_balance_news(m->balance[i], m->now_ms, 1 + n->host, m->engine[n->engine].id, &n->load);
            }
        }
        wire->first = (wire->first + 1) % MODEL_NEWS_MAX;
        wire->count--;
    }
}

static inline bool model_dead(const model_t* m, uint32_t engine) {
    return m->now_ms >= m->engine[engine].dead_from_ms && m->now_ms < m->engine[engine].dead_until_ms;
}

static inline uint32_t model_engine_of(const model_t* m, uint64_t id) {
    uint32_t i = 0;
    while (i < m->engines && m->engine[i].id != id) {
        i++;
    }
    return i;
}

static inline void model_end(model_t* m, model_run_t* r, cw_try_result_t result) {
    cw_balance_end(m->balance[r->host], m->now_ms, &r->run, result);
    m->engine[r->engine].running -= r->stage != MODEL_BREAKING;
    r->stage = MODEL_FREE;
    model_tell(m, r->host, r->engine);
}

static inline void model_begin(model_t* m, model_run_t* r) {
    const cw_work_t* work = &m->kind[r->kind].work;
    model_engine_t* e = &m->engine[r->engine];
    if (model_dead(m, r->engine)) {
        r->stage = MODEL_BREAKING;
        r->until_ms = m->now_ms + MODEL_BREAK_MS;
        m->avoidable += m->failed_ms[r->engine] && m->now_ms - m->failed_ms[r->engine] > 2 * (int64_t)m->news_ms;
        return;
    }
    m->too_many += e->running >= m->places;
    e->running++;
    r->stage = MODEL_READING;
    r->unread_ms = m->read_ms_per_token * work->prompt_tokens;
    r->sent = ++m->sent;
}

/* Whether an engine reads x before y. */
static inline bool model_reads_before(const model_t* m, const model_run_t* x, const model_run_t* y) {
    uint32_t urgency_x = m->kind[x->kind].work.urgency;
    uint32_t urgency_y = m->kind[y->kind].work.urgency;
    return urgency_x != urgency_y ? urgency_x < urgency_y : x->sent < y->sent;
}

/* Each engine reads its prompts for a ms. */
static inline void model_read(model_t* m) {
    for (uint32_t i = 0; i < m->engines; i++) {
        m->engine[i].reading = NULL;
    }
    for (uint32_t i = 0; i < MODEL_RUNS_MAX; i++) {
        model_run_t* r = &m->run[i];
        model_run_t** reading = &m->engine[r->engine].reading;
        if (r->stage == MODEL_READING && (!*reading || model_reads_before(m, r, *reading))) {
            *reading = r;
        }
    }
    for (uint32_t i = 0; i < m->engines; i++) {
        if (m->engine[i].reading) {
            m->engine[i].reading->unread_ms -= 1;
        }
    }
}

/* Whether x goes before y in a host's queue. */
static inline bool model_goes_before(const model_t* m, const model_run_t* x, const model_run_t* y) {
    (void)m;
    cw_turn_t turn_x = {x->work.urgency, x->work.light, x->work.late, x->asked_ms};
    cw_turn_t turn_y = {y->work.urgency, y->work.light, y->work.late, y->asked_ms};
    return cw_turn_before(&turn_x, &turn_y);
}

/* Whether a request that waits at the same host goes before it: it stays behind that one. */
static inline bool model_behind_another(const model_t* m, const model_run_t* r) {
    for (uint32_t i = 0; i < MODEL_RUNS_MAX && m->waits[r->host]; i++) {
        const model_run_t* y = &m->run[i];
        if (y != r && y->stage == MODEL_WAITING && y->host == r->host && model_goes_before(m, y, r)) {
            return true;
        }
    }
    return false;
}

/* Seeks a place; true when one was found. */
static inline bool model_seek(model_t* m, model_run_t* r) {
    cw_balance_t* b = m->balance[r->host];
    if (model_behind_another(m, r)) {
        return false;
    }
    cw_choice_t c = cw_balance_choose(b, m->now_ms, &r->work, NULL, 0);
    if (c.server == CW_BALANCE_NONE || c.late) {
        return false;
    }
    r->run = cw_balance_begin(b, m->now_ms, c.server, &r->work);
    r->engine = model_engine_of(m, r->run.id);
    model_begin(m, r);
    model_tell(m, r->host, r->engine);
    return true;
}

static inline void model_ask(model_t* m, uint32_t kind) {
    uint32_t i = 0;
    while (i < MODEL_RUNS_MAX && m->run[i].stage != MODEL_FREE) {
        i++;
    }
    if (i == MODEL_RUNS_MAX) {
        abort();
    }
    model_run_t* r = &m->run[i];
    model_kind_t* k = &m->kind[kind];
    *r = (model_run_t){.stage = MODEL_WAITING,
                       .host = rng_below(&m->rng, m->hosts),
                       .kind = kind,
                       .work = k->work,
                       .asked_ms = m->now_ms,
                       .generate_ms = k->generate_ms / 2 + rng_below(&m->rng, k->generate_ms + 1)};
    k->asked++;
    cw_balance_t* b = m->balance[r->host];
    cw_balance_asked(b, m->now_ms, &k->work);
    r->work.light = cw_balance_light(b, m->now_ms, &k->work);
    r->wait = cw_turn_wait(&(cw_turn_ask_t){.now_ms = m->now_ms,
                                            .leaves_ms = m->now_ms + k->leaves_ms,
                                            .target_ms = k->work.target_ms,
                                            .shortest_target_ms = cw_balance_shortest_target(b),
                                            .patient = cw_balance_patient(b, &k->work)});
    model_seek(m, r);
}

static inline void model_step_run(model_t* m, model_run_t* r) {
    model_kind_t* kind = &m->kind[r->kind];
    cw_balance_t* b = m->balance[r->host];
    bool due = m->now_ms >= r->until_ms;
    if (r->stage == MODEL_WAITING) {
        r->work.late = m->now_ms >= r->wait.late_ms;
        if (!model_seek(m, r) && m->now_ms >= r->wait.until_ms) {
            r->stage = MODEL_FREE;
            kind->refused++;
        }
    } else if (r->stage == MODEL_READING && r->unread_ms <= 0) {
        cw_balance_first(b, m->now_ms, &r->run);
        r->stage = MODEL_GENERATING;
        r->until_ms = m->now_ms + r->generate_ms;
        model_tell(m, r->host, r->engine);
    } else if (r->stage == MODEL_GENERATING && due) {
        kind->served++;
        model_end(m, r, CW_TRY_SERVED);
    } else if (r->stage == MODEL_BREAKING && due) {
        kind->broken++;
        m->failed_ms[r->engine] = m->failed_ms[r->engine] ? m->failed_ms[r->engine] : m->now_ms;
        model_end(m, r, CW_TRY_BROKEN);
    }
}

static inline void model_run_for(model_t* m, int64_t ms) {
    for (int64_t until_ms = m->now_ms + ms; m->now_ms < until_ms; m->now_ms++) {
        model_repeat(m);
        model_hear(m, 1);
        model_hear(m, 0); /* the newer */
        uint32_t waiting[MODEL_HOSTS_MAX][CW_URGENCIES] = {{0}};
        uint32_t all = 0;
        model_read(m);
        for (uint32_t i = 0; i < MODEL_RUNS_MAX; i++) {
            if (m->run[i].stage != MODEL_FREE) {
                model_step_run(m, &m->run[i]);
            }
            if (m->run[i].stage == MODEL_WAITING) {
                waiting[m->run[i].host][cw_work_turn_urgency(&m->run[i].work)]++;
                all++;
            }
        }
        for (uint32_t i = 0; i < m->hosts; i++) {
            m->waits[i] = false;
            for (uint32_t u = 0; u < CW_URGENCIES; u++) {
                m->waits[i] = m->waits[i] || waiting[i][u];
                cw_balance_waiting(m->balance[i], m->now_ms, u, waiting[i][u]);
            }
        }
        for (uint32_t i = 0; i < m->engines && all; i++) {
            m->place_ms += model_dead(m, i) ? 0 : m->places;
            m->run_ms += m->engine[i].running;
        }
        for (uint32_t k = 0; k < m->kinds; k++) {
            double chance = m->kind[k].per_s / 1000.0;
            while (chance > 0) {
                if (rng_below(&m->rng, 1000000) < chance * 1e6) {
                    model_ask(m, k);
                }
                chance -= 1;
            }
        }
    }
}

/* Of the living engines' places, the share that was taken while some request waited for one. */
static inline double model_fullness(const model_t* m) {
    return m->place_ms > 0 ? m->run_ms / m->place_ms : 1;
}

#endif
