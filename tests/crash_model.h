#ifndef CW_TEST_CRASH_MODEL_H
#define CW_TEST_CRASH_MODEL_H
/*
    Model of a fleet whose engines are crashed by queries of death: the quarantines of all hosts in one process, with
    simulated time. Used by tests and by bench_quarantine.

    A request waits in its engine's queue, then the engine sends the head of the response, then the body. An engine
    that sends the head of a query of death crashes 45 to 190 ms later, which breaks all requests there; it restarts
    as a new incarnation. A query of death is a body that is sent again and again, or a part in prompts that have
    nothing else to themselves. Sound prompts share the other parts. Hosts retry broken requests, and so do callers.
    Observations reach the other hosts after a delay or are lost; they are sent three times, and two hosts export one
    datagram of them each second.
*/
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_load.h"
#include "../chalkway_quarantine.h"

#define MODEL_HOSTS_MAX 300
#define MODEL_ENGINES_MAX 750
#define MODEL_RUNS_MAX 30000
#define MODEL_TRANSIT_MAX 2000000
#define MODEL_CAUSES_MAX 100
#define MODEL_POOL 1U
#define MODEL_START_MS 300 /* an engine that writes a response for this long has survived its start */
#define MODEL_RESTART_MS 2000
#define MODEL_BEGIN_MS 20000 /* of the queries of death */
#define MODEL_EXPORT_INTERVAL_MS 1000
#define MODEL_CHECK_INTERVAL_MS 25 /* at which hosts look for running requests that are quarantined */
#define MODEL_GIVE_UP_MS 4000      /* of a request that waits for a verdict or an engine */
#define MODEL_CRASH_MIN_MS 45
#define MODEL_CRASH_SPREAD_MS 145
#define MODEL_BEGIN_MAX_MS 1000 /* a request begins sooner, unless it waits for a verdict or an engine */
#define MODEL_CONTACT_MS 3000   /* by then all hosts know of a crash */
#define MODEL_RARE_PARTS 100    /* second parts of sound prompts, without those that crash engines */
#define MODEL_FIRST_PARTS 8     /* first parts; half of the prompts have the first of them */

static const cw_quarantine_target_t model_target = {.pool = MODEL_POOL};
static const int64_t model_resend_delays_ms[] = {50, 150}; /* as reporter_observations.c */

typedef struct model_desc_t {
    uint32_t hosts, engines;
    uint32_t causes;            /* queries of death */
    bool is_body;               /* they are bodies instead of parts */
    bool is_first_part;         /* the part is the first one; otherwise the second, after a popular part */
    bool has_no_head;           /* engines send no head before they crash or write a body */
    uint32_t period_ms;         /* between requests of one cause */
    double sound_per_s;         /* sound requests per second and engine */
    double loss;                /* share of lost datagrams */
    uint32_t random_crashes_ms; /* period of crashes without any cause, of a fifth of the engines at once; 0: none */
    int64_t hosts_lost_ms;      /* all hosts lose their state at this time; 0: never */
    int64_t until_ms;
    uint64_t seed;
} model_desc_t;

typedef enum model_run_state_t {
    MODEL_UNUSED = 0,
    MODEL_HELD,
    MODEL_QUEUED,
    MODEL_BEGUN,
    MODEL_WRITING
} model_run_state_t;

typedef struct model_run_t {
    model_run_state_t state;
    cw_suspects_t suspects;
    cw_verdict_t verdict;
    uint32_t cause; /* 1 + index of the query of death; 0: sound */
    uint32_t host, engine, attempts, tries;
    int64_t arrived_ms, due_ms; /* due: end of the state, or of the wait for a verdict */
    int64_t first_ms;           /* of the body */
    int64_t ends_ms;
    bool has_cleared_parts;
} model_run_t;

typedef struct model_engine_t {
    uint64_t incarnation;
    int64_t down_until_ms;
    uint32_t running;
} model_engine_t;

typedef struct model_transit_t {
    cw_quarantine_observation_t observation;
    int64_t sent_ms, due_ms;
    uint32_t host;
} model_transit_t;

typedef struct model_result_t {
    uint32_t crashes[MODEL_CAUSES_MAX];            /* engines that the cause crashed */
    uint32_t crashes_after_loss[MODEL_CAUSES_MAX]; /* of these, after all hosts lost their state */
    uint32_t late_arrivals[MODEL_CAUSES_MAX];      /* at engines, MODEL_CONTACT_MS after the fourth crash */
    uint32_t sound_sent, sound_served;
    uint32_t sound_refused_for_content, sound_refused_for_part, sound_refused_for_popular; /* quarantined */
    uint32_t sound_given_up;        /* waited too long for a verdict or an engine */
    uint32_t late_sent, late_begun; /* sound prompts that share a part with the causes, later than 2 * MODEL_CONTACT_MS
                                       after the latest crash under the first cause */
    uint32_t wait_max_ms;           /* longest wait of a sound request for a verdict */
    uint64_t observations_sent;
} model_result_t;

typedef struct model_t {
    model_desc_t desc;
    model_result_t result;
    int64_t now_ms;
    uint64_t draws, incarnations, contents, claims;
    cw_quarantine_t* quarantines[MODEL_HOSTS_MAX];
    model_engine_t engines[MODEL_ENGINES_MAX];
    model_run_t runs[MODEL_RUNS_MAX];
    uint32_t run_count; /* number of runs ever used */
    model_transit_t* transit;
    uint32_t transit_count;
    int64_t fourth_crash_ms[MODEL_CAUSES_MAX];
    int64_t latest_crash_ms; /* under the first cause; 0: none yet */
} model_t;

static inline uint32_t model_below(model_t* m, uint32_t n) {
    return (uint32_t)(cw_mix(m->desc.seed + 1, ++m->draws) % n);
}

static inline bool model_chance(model_t* m, double share) {
    return (double)(cw_mix(m->desc.seed + 1, ++m->draws) >> 11) / 9007199254740992.0 < share;
}

/* -- observations --------------------------------------------------------- */

static inline void model_broadcast(model_t* m, uint32_t from, const cw_quarantine_observation_t* observations,
                                   uint32_t count, int64_t extra_ms) {
    uint32_t delay_ms = m->desc.hosts > 16 ? 30 : 2;
    for (uint32_t h = 0; h < m->desc.hosts; h++) {
        if (h == from || model_chance(m, m->desc.loss)) {
            continue;
        }
        int64_t due_ms = m->now_ms + extra_ms + delay_ms / 2 + model_below(m, delay_ms);
        for (uint32_t i = 0; i < count && m->transit_count < MODEL_TRANSIT_MAX; i++) {
            m->transit[m->transit_count++] =
                (model_transit_t){.observation = observations[i], .sent_ms = m->now_ms, .due_ms = due_ms, .host = h};
        }
    }
    m->result.observations_sent += count;
}

/* Applies observations of a host and sends those that are new to the others. */
static inline void model_publish(model_t* m, uint32_t host, const cw_quarantine_observation_t* observations,
                                 uint32_t count) {
    cw_quarantine_observation_t published[CW_SUSPECTS_MAX];
    uint32_t published_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (cw_quarantine_observe(m->quarantines[host], m->now_ms, &observations[i])) {
            published[published_count++] = observations[i];
        }
    }
    if (published_count) {
        model_broadcast(m, host, published, published_count, 0);
        for (size_t i = 0; i < sizeof(model_resend_delays_ms) / sizeof(*model_resend_delays_ms); i++) {
            model_broadcast(m, host, published, published_count, model_resend_delays_ms[i]);
        }
    }
}

static inline void model_deliver(model_t* m) {
    uint32_t kept_count = 0;
    for (uint32_t i = 0; i < m->transit_count; i++) {
        model_transit_t* item = &m->transit[i];
        if (item->due_ms > m->now_ms) {
            m->transit[kept_count++] = *item;
            continue;
        }
        item->observation.age_ms += (uint32_t)(m->now_ms - item->sent_ms);
        cw_quarantine_observe(m->quarantines[item->host], m->now_ms, &item->observation);
    }
    m->transit_count = kept_count;
}

static inline void model_export(model_t* m) {
    for (uint32_t h = 0; h < 2 && h < m->desc.hosts && m->now_ms % MODEL_EXPORT_INTERVAL_MS == 0; h++) {
        cw_quarantine_observation_t observations[CW_LOAD_OBSERVATIONS];
        uint32_t at = 0;
        uint32_t count = cw_quarantine_export(m->quarantines[h], m->now_ms, &at, observations, CW_LOAD_OBSERVATIONS);
        model_broadcast(m, h, observations, count, 0);
    }
}

/* -- requests ------------------------------------------------------------- */

static inline bool model_is_excluded(const cw_verdict_t* v, uint64_t incarnation) {
    for (uint32_t i = 0; i < v->excluded_count; i++) {
        if (v->incarnations[i] == incarnation) {
            return true;
        }
    }
    return false;
}

/* The engine with the least requests, or by rendezvous hashing for an isolated request; MODEL_ENGINES_MAX: none. */
static inline uint32_t model_choose_engine(model_t* m, const model_run_t* run) {
    uint32_t best = MODEL_ENGINES_MAX;
    uint64_t best_score = UINT64_MAX;
    for (uint32_t e = 0; e < m->desc.engines; e++) {
        const model_engine_t* engine = &m->engines[e];
        if (m->now_ms < engine->down_until_ms || model_is_excluded(&run->verdict, engine->incarnation)) {
            continue;
        }
        uint64_t score = run->verdict.is_isolated ? cw_mix(run->suspects.items[0].content_hash, engine->incarnation)
                                                  : engine->running * 1000ULL + model_below(m, 1000);
        if (score < best_score) {
            best = e;
            best_score = score;
        }
    }
    return best;
}

static inline void model_end(model_run_t* run) {
    *run = (model_run_t){.state = MODEL_UNUSED};
}

/* Whether the sound request shares a part with the prompts of the causes. */
static inline bool model_is_neighbour(const model_run_t* run) {
    cw_fingerprint_t popular = cw_fingerprint_of_part(1);
    return !run->cause && cw_fingerprint_equal(&run->suspects.items[1], &popular);
}

static inline bool model_is_late(const model_t* m, const model_run_t* run) {
    bool has_time_to_begin = run->arrived_ms + MODEL_BEGIN_MAX_MS < m->desc.until_ms;
    return has_time_to_begin && m->latest_crash_ms && run->arrived_ms > m->latest_crash_ms + 2 * MODEL_CONTACT_MS;
}

static inline void model_refuse(model_t* m, model_run_t* run, const cw_verdict_t* v) {
    bool is_quarantined = v->kind == CW_VERDICT_QUARANTINED;
    bool is_part = cw_fingerprint_is_part(&v->suspect);
    m->result.sound_given_up += !run->cause && !is_quarantined;
    m->result.sound_refused_for_content += !run->cause && is_quarantined && !is_part;
    m->result.sound_refused_for_part += !run->cause && is_quarantined && is_part;
    m->result.sound_refused_for_popular += !run->cause && is_quarantined && is_part && v->suspect.content_hash < 100;
    model_end(run);
}

static inline void model_claim_trials(model_t* m, model_run_t* run) {
    cw_quarantine_observation_t claims[CW_SUSPECTS_MAX];
    run->suspects.claim = cw_mix(++m->claims, 1) | 1U;
    model_publish(m, run->host, claims, cw_quarantine_claims(&run->suspects, &run->verdict, MODEL_POOL, claims));
}

/* Sends the request to an engine, lets it wait, or ends it. */
static inline void model_assign(model_t* m, model_run_t* run) {
    run->verdict = cw_quarantine_evaluate(m->quarantines[run->host], m->now_ms, &run->suspects, &model_target);
    int64_t waited_ms = m->now_ms - run->arrived_ms;
    if (run->verdict.kind == CW_VERDICT_PENDING) {
        run->suspects.claim = 0; /* another one preceded it */
    }
    if (run->verdict.kind == CW_VERDICT_QUARANTINED || waited_ms > MODEL_GIVE_UP_MS) {
        model_refuse(m, run, &run->verdict);
        return;
    }
    if (!run->cause && run->state == MODEL_HELD && !run->attempts && waited_ms > m->result.wait_max_ms) {
        m->result.wait_max_ms = (uint32_t)waited_ms;
    }
    if (run->verdict.kind == CW_VERDICT_TRIAL && run->verdict.claims && !run->verdict.is_claimed) {
        model_claim_trials(m, run);
        run->state = MODEL_HELD;
        run->due_ms = m->now_ms + CW_QUARANTINE_CLAIM_MS;
        return;
    }
    uint32_t e = run->verdict.kind == CW_VERDICT_PENDING ? MODEL_ENGINES_MAX : model_choose_engine(m, run);
    if (e == MODEL_ENGINES_MAX) {
        run->state = MODEL_HELD;
        run->due_ms = m->now_ms + (run->verdict.kind == CW_VERDICT_PENDING ? run->verdict.retry_ms : 20);
        return;
    }
    if (run->verdict.is_content_on_trial) {
        const cw_quarantine_observation_t trial = {.kind = CW_OBSERVED_TRIAL,
                                                   .suspect = run->suspects.items[0],
                                                   .incarnation = m->engines[e].incarnation,
                                                   .pool = MODEL_POOL};
        model_publish(m, run->host, &trial, 1);
    }
    run->engine = e;
    run->attempts++;
    run->state = MODEL_QUEUED;
    run->due_ms = m->now_ms + 10 + 4LL * m->engines[e].running + model_below(m, 60);
    run->has_cleared_parts = false;
    m->engines[e].running++;
    if (run->cause && m->fourth_crash_ms[run->cause - 1] &&
        m->now_ms > m->fourth_crash_ms[run->cause - 1] + MODEL_CONTACT_MS) {
        m->result.late_arrivals[run->cause - 1]++;
    }
}

static inline model_run_t* model_new_run(model_t* m) {
    for (uint32_t i = 0; i < m->run_count; i++) {
        if (m->runs[i].state == MODEL_UNUSED) {
            return &m->runs[i];
        }
    }
    return m->run_count < MODEL_RUNS_MAX ? &m->runs[m->run_count++] : NULL;
}

/* cause 0: a sound request. tries: of its caller, counting this one. */
static inline void model_request(model_t* m, uint32_t cause, uint32_t tries, const cw_suspects_t* repeated) {
    model_run_t* run = model_new_run(m);
    if (!run) {
        return;
    }
    const model_desc_t* d = &m->desc;
    *run = (model_run_t){
        .cause = cause, .host = model_below(m, d->hosts), .tries = tries, .arrived_ms = m->now_ms, .state = MODEL_HELD};
    if (repeated) {
        run->suspects = *repeated;
    } else {
        bool is_body = cause && d->is_body;
        uint64_t content = is_body ? 1000000 + cause : 2000000 + ++m->contents;
        run->suspects = (cw_suspects_t){.count = 1, .items = {{.workspace = 1, .content_hash = content}}};
        uint64_t first = model_chance(m, 0.5) || cause ? 1 : 2 + model_below(m, MODEL_FIRST_PARTS - 1);
        uint64_t second = 100 + (is_body ? cause : model_below(m, MODEL_RARE_PARTS));
        bool is_part = cause && !d->is_body;
        cw_suspects_add_part(&run->suspects, is_part && d->is_first_part ? 1000 + cause : first);
        cw_suspects_add_part(&run->suspects, is_part && !d->is_first_part ? 1000 + cause : second);
    }
    m->result.sound_sent += !cause;
    m->result.late_sent += model_is_neighbour(run) && model_is_late(m, run);
    model_assign(m, run);
}

/* A request broke under its engine: its host retries it once, then its caller once more. */
static inline void model_retry(model_t* m, model_run_t* run) {
    run->suspects.claim = 0;
    if (run->attempts % 2) {
        run->state = MODEL_HELD;
        model_assign(m, run);
        return;
    }
    cw_suspects_t suspects = run->suspects;
    uint32_t cause = run->cause;
    uint32_t tries = run->tries;
    model_end(run);
    if (tries < 2) {
        model_request(m, cause, tries + 1, &suspects);
    }
}

/* -- engines -------------------------------------------------------------- */

static inline cw_run_phase_t model_phase(const model_t* m, const model_run_t* run) {
    bool has_begun = run->state == MODEL_BEGUN && !m->desc.has_no_head;
    if (run->state == MODEL_WRITING) {
        return m->now_ms - run->first_ms >= MODEL_START_MS ? CW_RUN_WRITING : CW_RUN_STARTED;
    }
    return has_begun ? CW_RUN_BEGINNING : CW_RUN_WAITING;
}

static inline void model_observe_crash(model_t* m, const model_run_t* run, uint64_t incarnation) {
    cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
    cw_run_phase_t phase = model_phase(m, run);
    cw_quarantine_observation_t crash = {
        .kind = CW_OBSERVED_CRASH, .incarnation = incarnation, .pool = MODEL_POOL, .phase = phase};
    uint32_t count =
        cw_quarantine_observe_crash(m->quarantines[run->host], m->now_ms, &run->suspects, &crash, observations);
    model_publish(m, run->host, observations, count);
}

/* cause 0: the engine crashes by itself. */
static inline void model_crash(model_t* m, uint32_t e, uint32_t cause) {
    static uint32_t broken[MODEL_RUNS_MAX];
    uint32_t broken_count = 0;
    uint64_t incarnation = m->engines[e].incarnation;
    m->engines[e] = (model_engine_t){.incarnation = ++m->incarnations, .down_until_ms = m->now_ms + MODEL_RESTART_MS};
    if (cause) {
        uint32_t crashes = ++m->result.crashes[cause - 1];
        bool is_after_loss = m->desc.hosts_lost_ms && m->now_ms > m->desc.hosts_lost_ms;
        m->result.crashes_after_loss[cause - 1] += is_after_loss;
        m->latest_crash_ms = cause == 1 ? m->now_ms : m->latest_crash_ms;
        if (crashes == 4) {
            m->fourth_crash_ms[cause - 1] = m->now_ms;
        }
    }
    for (uint32_t i = 0; i < m->run_count; i++) {
        model_run_t* run = &m->runs[i];
        if (run->state >= MODEL_QUEUED && run->engine == e) {
            model_observe_crash(m, run, incarnation);
            run->state = MODEL_HELD;
            broken[broken_count++] = i;
        }
    }
    for (uint32_t i = 0; i < broken_count; i++) {
        if (m->runs[broken[i]].state == MODEL_HELD) {
            model_retry(m, &m->runs[broken[i]]);
        }
    }
}

static inline void model_clear(model_t* m, const model_run_t* run, uint32_t first, int64_t began_ms) {
    cw_quarantine_t* q = m->quarantines[run->host];
    cw_quarantine_observation_t observations[CW_SUSPECTS_MAX];
    cw_quarantine_on_answer(q, m->now_ms, &run->suspects, MODEL_POOL);
    uint32_t count = cw_quarantine_clearances(q, m->now_ms, &run->suspects, first, MODEL_POOL, began_ms, observations);
    model_publish(m, run->host, observations, count);
}

static inline void model_step_run(model_t* m, model_run_t* run) {
    if (run->state == MODEL_HELD && m->now_ms >= run->due_ms) {
        model_assign(m, run);
    } else if (run->state == MODEL_QUEUED && m->now_ms >= run->due_ms) {
        run->state = MODEL_BEGUN;
        run->due_ms = m->now_ms + (run->cause ? MODEL_CRASH_MIN_MS + model_below(m, MODEL_CRASH_SPREAD_MS)
                                              : 20 + model_below(m, 40));
    } else if (run->state == MODEL_BEGUN && m->now_ms >= run->due_ms) {
        if (run->cause) {
            model_crash(m, run->engine, run->cause);
            return;
        }
        run->state = MODEL_WRITING;
        run->first_ms = m->now_ms;
        run->ends_ms = m->now_ms + 200 + model_below(m, 4000);
        m->result.late_begun += run->attempts == 1 && model_is_neighbour(run) && model_is_late(m, run);
    } else if (run->state == MODEL_WRITING && m->now_ms >= run->ends_ms) {
        model_clear(m, run, 0, run->first_ms);
        m->engines[run->engine].running--;
        m->result.sound_served++;
        model_end(run);
    } else if (run->state == MODEL_WRITING && !run->has_cleared_parts && m->now_ms - run->first_ms >= MODEL_START_MS) {
        run->has_cleared_parts = true;
        model_clear(m, run, 1, run->first_ms);
    }
}

/* Hosts end the requests that have come to be quarantined. */
static inline void model_check_running(model_t* m) {
    for (uint32_t i = 0; i < m->run_count && m->now_ms % MODEL_CHECK_INTERVAL_MS == 0; i++) {
        model_run_t* run = &m->runs[i];
        if (run->state != MODEL_QUEUED && run->state != MODEL_BEGUN) {
            continue;
        }
        cw_verdict_t v = cw_quarantine_evaluate(m->quarantines[run->host], m->now_ms, &run->suspects, &model_target);
        if (v.kind == CW_VERDICT_QUARANTINED) {
            m->engines[run->engine].running--;
            model_refuse(m, run, &v);
        } else if (v.kind == CW_VERDICT_PENDING && run->state == MODEL_QUEUED && !run->suspects.claim &&
                   run->attempts % 2) {
            m->engines[run->engine].running--;
            run->state = MODEL_HELD; /* its host takes it back from the queue of the engine */
            run->due_ms = m->now_ms + v.retry_ms;
        }
    }
}

static inline void model_forget(model_t* m) {
    for (uint32_t h = 0; h < m->desc.hosts; h++) {
        cw_quarantine_shutdown(m->quarantines[h]);
        m->quarantines[h] = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
    }
    m->transit_count = 0;
}

static inline void model_send_requests(model_t* m) {
    const model_desc_t* d = &m->desc;
    for (uint32_t cause = 1; cause <= d->causes && m->now_ms > MODEL_BEGIN_MS; cause++) {
        if (model_chance(m, 1.0 / d->period_ms)) {
            model_request(m, cause, 1, NULL);
        }
    }
    double due = d->engines * d->sound_per_s / 1000;
    for (uint32_t i = 0; i < due; i++) {
        if (model_chance(m, due - i)) {
            model_request(m, 0, 1, NULL);
        }
    }
    if (d->random_crashes_ms && m->now_ms % d->random_crashes_ms == 0) {
        for (uint32_t i = 0; i < (d->engines + 4) / 5; i++) {
            uint32_t e = model_below(m, d->engines);
            if (m->now_ms >= m->engines[e].down_until_ms) {
                model_crash(m, e, 0);
            }
        }
    }
}

static inline model_result_t model_run(const model_desc_t* desc) {
    model_t* m = calloc(1, sizeof(*m));
    m->desc = *desc;
    m->transit = calloc(MODEL_TRANSIT_MAX, sizeof(*m->transit));
    for (uint32_t h = 0; h < desc->hosts; h++) {
        m->quarantines[h] = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
    }
    for (uint32_t e = 0; e < desc->engines; e++) {
        m->engines[e].incarnation = ++m->incarnations;
    }
    for (m->now_ms = 1; m->now_ms <= desc->until_ms; m->now_ms++) {
        model_deliver(m);
        if (desc->hosts_lost_ms == m->now_ms) {
            model_forget(m);
        }
        for (uint32_t i = 0; i < m->run_count; i++) {
            model_step_run(m, &m->runs[i]);
        }
        model_send_requests(m);
        model_check_running(m);
        model_export(m);
    }
    for (uint32_t h = 0; h < desc->hosts; h++) {
        cw_quarantine_shutdown(m->quarantines[h]);
    }
    model_result_t result = m->result;
    free(m->transit);
    free(m);
    return result;
}

#endif
