#ifndef CHALKWAY_SERVER_LEARNING_H
#define CHALKWAY_SERVER_LEARNING_H
/*
    chalkway_server_learning.h -- what is learned about servers from their runs

    WHAT IT IS
        The figures that this host learns from its own requests: for the pool,
        the prefill time of a token, the time of a plain call and the stalls by
        prompt length; for each server, its slowdown relative to the others, its
        failure ratio, and its event interval while it prefills nothing. Event
        intervals are also taken over from other hosts. Slowdown and failure
        ratio decay, so that a server that gets no requests is tried again.

    HOW TO USE IT
            cw_server_learning_t l = cw_server_learning_init();
            cw_server_learn_prefill(&l, s, now_ms, &run);
            cw_server_learn_failure(s, now_ms, 0);
            double slowdown = cw_server_slowdown(s, now_ms);

    WHAT IT DOES NOT DO
        It has no cost of a server (chalkway_server_cost.h) and learns nothing
        about requests (chalkway_demand.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_prefill.h"
#include "chalkway_server_table.h"
#include "chalkway_stall.h"

/* Figures learned over all servers of a pool. */
typedef struct cw_server_learning_t {
    cw_prefill_t prefill;
    double call_ms; /* time of a plain call */
    uint32_t call_samples;
    cw_stalls_t stalls;
    double fastest_interval_ms; /* shortest known event interval of a server; 0: none known */
} cw_server_learning_t;

/* No samples: the defaults of prefill time and call time apply. */
cw_server_learning_t cw_server_learning_init(void);
/* Finds the shortest event interval of a listed server. To be called whenever the list of servers changed. */
void cw_server_learning_find_fastest(cw_server_learning_t* l, const cw_server_table_t* t);
/* Learns the event interval of the server from a gap between two events, ms, during which it prefilled nothing. */
void cw_server_learn_interval(cw_server_learning_t* l, const cw_server_table_t* t, cw_pool_server_t* s,
                              double event_gap_ms);
/* Applies the event interval that another host has learned, while this one has few samples of its own. */
void cw_server_merge_interval(cw_server_learning_t* l, const cw_server_table_t* t, cw_pool_server_t* s,
                              uint32_t event_interval_us);
/* The learned event interval as reported to peers, us; 0: too few samples. */
uint32_t cw_server_event_interval_us(const cw_pool_server_t* s);
/* Event interval of the server relative to the fastest one's, 1 while unknown. */
double cw_server_interval_ratio(const cw_server_learning_t* l, const cw_pool_server_t* s);
/* Time that requests take at the server, relative to the other servers; 1: the same. */
double cw_server_slowdown(const cw_pool_server_t* s, int64_t now_ms);
/* Share 0..1 of the server's recent requests that failed. */
double cw_server_failure_ratio(const cw_pool_server_t* s, int64_t now_ms);
/* Learns the prefill time in the pool and the slowdown of the server from the first event of a response. */
void cw_server_learn_prefill(cw_server_learning_t* l, cw_pool_server_t* s, int64_t now_ms, const cw_run_t* run);
/* Learns the time of a plain call in the pool and the slowdown of the server from a call that ended. */
void cw_server_learn_call(cw_server_learning_t* l, cw_pool_server_t* s, int64_t now_ms, const cw_run_t* run);
/* Learns the failure ratio from the outcome of a request: 0 success, 1 failure. */
void cw_server_learn_failure(cw_pool_server_t* s, int64_t now_ms, double outcome);

#endif /* CHALKWAY_SERVER_LEARNING_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_LEARNING_IMPL_INCLUDED
#define CHALKWAY_SERVER_LEARNING_IMPL_INCLUDED

#include <math.h>

/* Speed and failures of servers. */
#define _CW_CALL_DEFAULT_MS 50.0      /* assumed time of a plain call before the first sample */
#define _CW_SLOWDOWN_WEIGHT 0.2       /* of a new sample of a server's slowdown */
#define _CW_SLOWDOWN_MAX 20.0         /* relative to the other servers */
#define _CW_SLOWDOWN_DECAY_MS 10000.0 /* time constant, after which a third of a slowdown is left */
#define _CW_FAILURE_WEIGHT 0.25       /* of a new failure or success */
#define _CW_FAILURE_DECAY_MS 4000.0   /* time constant of the decay of a server's failure ratio */

/* Event intervals of servers. */
#define _CW_INTERVAL_WEIGHT 0.05    /* of a new sample */
#define _CW_INTERVAL_SAMPLES_MIN 20 /* with fewer samples an interval counts as unknown */

cw_server_learning_t cw_server_learning_init(void) {
    return (cw_server_learning_t){.prefill = cw_prefill_init(), .call_ms = _CW_CALL_DEFAULT_MS};
}

void cw_server_learning_find_fastest(cw_server_learning_t* l, const cw_server_table_t* t) {
    l->fastest_interval_ms = 0;
    for (uint32_t i = 0; i < t->entry_count; i++) {
        const cw_pool_server_t* other = &t->servers[i];
        bool is_known = other->is_listed && other->interval_samples >= _CW_INTERVAL_SAMPLES_MIN;
        l->fastest_interval_ms =
            is_known && (l->fastest_interval_ms <= 0 || other->event_interval_ms < l->fastest_interval_ms)
                ? other->event_interval_ms
                : l->fastest_interval_ms;
    }
}

/* Updates the shortest event interval after the server's changed. A full search is needed only where this server was
   the fastest and no longer is. */
static void _cw_server_learning_update_fastest(cw_server_learning_t* l, const cw_server_table_t* t,
                                               const cw_pool_server_t* s, double old_interval_ms) {
    if (!s->is_listed || s->interval_samples < _CW_INTERVAL_SAMPLES_MIN) {
        return;
    }
    if (l->fastest_interval_ms <= 0 || s->event_interval_ms <= l->fastest_interval_ms) {
        l->fastest_interval_ms = s->event_interval_ms;
    } else if (old_interval_ms <= l->fastest_interval_ms) {
        cw_server_learning_find_fastest(l, t);
    }
}

void cw_server_learn_interval(cw_server_learning_t* l, const cw_server_table_t* t, cw_pool_server_t* s,
                              double event_gap_ms) {
    double old_interval_ms = s->event_interval_ms;
    s->event_interval_ms += (s->interval_samples ? _CW_INTERVAL_WEIGHT : 1) * (event_gap_ms - s->event_interval_ms);
    s->interval_samples++;
    _cw_server_learning_update_fastest(l, t, s, old_interval_ms);
}

void cw_server_merge_interval(cw_server_learning_t* l, const cw_server_table_t* t, cw_pool_server_t* s,
                              uint32_t event_interval_us) {
    if (!event_interval_us || s->interval_samples > _CW_INTERVAL_SAMPLES_MIN) {
        return;
    }
    double old_interval_ms = s->event_interval_ms;
    s->event_interval_ms = event_interval_us / 1000.0;
    s->interval_samples = _CW_INTERVAL_SAMPLES_MIN;
    _cw_server_learning_update_fastest(l, t, s, old_interval_ms);
}

uint32_t cw_server_event_interval_us(const cw_pool_server_t* s) {
    return s->interval_samples > _CW_INTERVAL_SAMPLES_MIN ? (uint32_t)(s->event_interval_ms * 1000.0) : 0;
}

double cw_server_interval_ratio(const cw_server_learning_t* l, const cw_pool_server_t* s) {
    bool is_known = s->interval_samples >= _CW_INTERVAL_SAMPLES_MIN && l->fastest_interval_ms > 0;
    return is_known ? s->event_interval_ms / l->fastest_interval_ms : 1;
}

double cw_server_slowdown(const cw_pool_server_t* s, int64_t now_ms) {
    double decay = exp(-(double)(now_ms - s->slowdown_at_ms) / _CW_SLOWDOWN_DECAY_MS);
    return 1 + (s->slowdown - 1) * decay;
}

double cw_server_failure_ratio(const cw_pool_server_t* s, int64_t now_ms) {
    return s->failure_ratio * exp(-(double)(now_ms - s->failure_at_ms) / _CW_FAILURE_DECAY_MS);
}

static void _cw_server_learn_slowdown(cw_pool_server_t* s, int64_t now_ms, double ratio) {
    ratio = ratio > _CW_SLOWDOWN_MAX ? _CW_SLOWDOWN_MAX : ratio;
    s->slowdown = cw_server_slowdown(s, now_ms);
    s->slowdown += _CW_SLOWDOWN_WEIGHT * (ratio - s->slowdown);
    s->slowdown = s->slowdown < 0.25 ? 0.25 : s->slowdown;
    s->slowdown_at_ms = now_ms;
}

void cw_server_learn_prefill(cw_server_learning_t* l, cw_pool_server_t* s, int64_t now_ms, const cw_run_t* run) {
    double took_ms = (double)(now_ms - run->begun_ms);
    /* The backlog that the prompt found may have delayed it: this is no slowdown of the server. */
    double alone_ms = took_ms - run->backlog_ahead_ms;
    double expected_ms = cw_prefill_ms(&l->prefill, run->uncached_tokens);
    if (run->uncached_tokens) {
        cw_prefill_learn(&l->prefill, run->uncached_tokens, took_ms, run->is_unqueued);
    }
    if (alone_ms > 0 && expected_ms > 0) {
        _cw_server_learn_slowdown(s, now_ms, alone_ms / (expected_ms > 20 ? expected_ms : 20));
    }
}

void cw_server_learn_call(cw_server_learning_t* l, cw_pool_server_t* s, int64_t now_ms, const cw_run_t* run) {
    double took_ms = (double)(now_ms - run->begun_ms);
    double weight = l->call_samples < 20 ? 1.0 / (l->call_samples + 1) : 0.02;
    l->call_ms += weight * (took_ms - l->call_ms);
    l->call_samples++;
    _cw_server_learn_slowdown(s, now_ms, took_ms / (l->call_ms > 1 ? l->call_ms : 1));
}

void cw_server_learn_failure(cw_pool_server_t* s, int64_t now_ms, double outcome) {
    s->failure_ratio = cw_server_failure_ratio(s, now_ms);
    s->failure_ratio += _CW_FAILURE_WEIGHT * (outcome - s->failure_ratio);
    s->failure_at_ms = now_ms;
}

#endif /* CHALKWAY_SERVER_LEARNING_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
