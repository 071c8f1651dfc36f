#ifndef CHALKWAY_SERVER_FORECAST_H
#define CHALKWAY_SERVER_FORECAST_H
/*
    chalkway_server_forecast.h -- the forecasts as applied to the servers of a pool

    WHAT IT IS
        Decides whether a pool is balanced by the shared forecast of first
        events and gaps (chalkway_forecast.h, chalkway_gap_forecast.h) or by
        the host's own one (chalkway_server_learning.h), and answers for a
        server what depends on it: the time per prompt token, the speed
        relative to the pool's fast engines, and the unit of its backlog.

    HOW TO USE IT
            cw_server_forecast_t f = cw_server_forecast_init(CW_FORECAST_AUTO);
            cw_server_forecast_set_hosts(&f, live_hosts);
            cw_server_forecast_refresh(&f, &table, now_ms); // before a choice
            double pace_ms = cw_server_pace_ms(&f, &learning, s, now_ms);

    WHAT IT DOES NOT DO
        It has no costs (chalkway_server_cost.h) and sums no loads
        (chalkway_server_load.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_forecast.h"
#include "chalkway_gap_forecast.h"
#include "chalkway_server_learning.h"
#include "chalkway_server_table.h"

/* Forecasts of a pool. */
typedef struct cw_server_forecast_t {
    cw_forecast_mode_t mode;
    bool is_measured; /* paces and gaps are learned from all hosts and reported to them */
    bool is_shared;   /* the shared forecast is in use */
    cw_forecast_pool_t pool;
    cw_gap_forecast_pool_t gaps;
    cw_forecast_error_t error; /* of the forecast in use */
    double fast_pace_ms;       /* pace of the pool's fast engines; 0: unknown */
    int64_t fast_pace_at_ms;   /* time of its last refresh; 0: none */
} cw_server_forecast_t;

cw_server_forecast_t cw_server_forecast_init(cw_forecast_mode_t mode);
/* Sets the number of live hosts. */
void cw_server_forecast_set_hosts(cw_server_forecast_t* f, uint32_t hosts);
/* Records that the host resumed from suspend. */
void cw_server_forecast_on_resume(cw_server_forecast_t* f, int64_t now_ms);
/* Determines the pace of the pool's fast engines anew if that was long ago, and whether the engines are so uneven that
   the shared forecast is used. Uses scratch space of the table. */
void cw_server_forecast_refresh(cw_server_forecast_t* f, cw_server_table_t* t, int64_t now_ms);
/* Time per prompt token at the engine, ms, by the forecast in use. */
double cw_server_pace_ms(const cw_server_forecast_t* f, const cw_server_learning_t* l, const cw_pool_server_t* s,
                         int64_t now_ms);
/* Time that the engine takes for a step, relative to the pool's fast ones; 1 while unknown. pace_ms: its time per
   prompt token by the forecast in use. */
double cw_server_speed_ratio(const cw_server_forecast_t* f, const cw_server_learning_t* l, const cw_pool_server_t* s,
                             double pace_ms);
/* Fills in the fields of the own load report that depend on the forecast in use. */
void cw_server_forecast_fill_load(const cw_server_forecast_t* f, const cw_pool_server_t* s, int64_t now_ms,
                                  cw_load_t* load);
/* Applies a peer's report of pace and gaps. */
void cw_server_forecast_on_peer(cw_server_forecast_t* f, cw_pool_server_t* s, int64_t now_ms, const cw_load_t* load);

#endif /* CHALKWAY_SERVER_FORECAST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SERVER_FORECAST_IMPL_INCLUDED
#define CHALKWAY_SERVER_FORECAST_IMPL_INCLUDED

#include "chalkway_owner.h"

/* Quantile of the engines' paces that counts as the pace of the fast ones: where a third of the engines is faster than
   the others, this is the middle of that third. */
#define _CW_FAST_PACE_QUANTILE (1.0 / 6.0)
#define _CW_FAST_PACE_REFRESH_MS 200 /* a refresh reads the state of all servers */
/* Ratio of the paces of the pool's slow engines to those of its fast ones (quantiles 5/6 and 1/6) from which the
   engines count as uneven, and below which they no longer do. Equal engines under load show ratios of 1.1 to 1.4, since
   they differ in what they run; a third of the engines at 2.4 times the speed of the others shows 1.6 to 2.4. Where
   engines are equal, the host's own forecast by the clock is the better one: the shared one overestimates a short wait
   by half of the prompt that is being prefilled. */
#define _CW_UNEVEN_RATIO_ON 1.6
#define _CW_UNEVEN_RATIO_OFF 1.45
#define _CW_UNEVEN_ENGINES_MIN 12 /* with fewer known paces each quantile would be a single engine's */
/* Speed ratios below the first one are within the error of the forecast. The second one bounds the effect of wrong
   samples. */
#define _CW_SPEED_RATIO_MIN 1.3
#define _CW_SPEED_RATIO_MAX 4.0
#define _CW_FORECAST_NS_IN_MS 1e6

cw_server_forecast_t cw_server_forecast_init(cw_forecast_mode_t mode) {
    bool is_shared = mode == CW_FORECAST_SHARED;
    return (cw_server_forecast_t){
        .mode = mode, .is_measured = is_shared, .is_shared = is_shared, .pool = cw_forecast_pool_init()};
}

void cw_server_forecast_set_hosts(cw_server_forecast_t* f, uint32_t hosts) {
    bool is_shared = f->mode == CW_FORECAST_SHARED;
    f->is_measured = is_shared || (f->mode == CW_FORECAST_AUTO && hosts > CW_OWNER_SMALL_FLEET);
    f->is_shared = is_shared || (f->is_measured && f->is_shared);
}

void cw_server_forecast_on_resume(cw_server_forecast_t* f, int64_t now_ms) {
    cw_forecast_on_resume(&f->pool, now_ms);
    cw_gap_forecast_on_resume(&f->gaps, now_ms);
}

/* Whether the engines are uneven: slow_ms and fast_ms are the paces of the pool's slow and fast ones. */
static bool _cw_server_is_uneven(const cw_server_forecast_t* f, uint32_t known, double slow_ms, double fast_ms) {
    double limit = f->is_shared ? _CW_UNEVEN_RATIO_OFF : _CW_UNEVEN_RATIO_ON;
    return known >= _CW_UNEVEN_ENGINES_MIN && slow_ms > limit * fast_ms;
}

void cw_server_forecast_refresh(cw_server_forecast_t* f, cw_server_table_t* t, int64_t now_ms) {
    if (!f->is_measured || (f->fast_pace_at_ms && now_ms - f->fast_pace_at_ms < _CW_FAST_PACE_REFRESH_MS)) {
        return;
    }
    uint32_t count = 0;
    for (uint32_t i = 0; i < t->entry_count; i++) {
        const cw_pool_server_t* s = &t->servers[i];
        if (s->is_listed && cw_forecast_is_known(&s->forecast)) {
            t->paces[count++] = (float)s->forecast.pace_ms;
        }
    }
    f->fast_pace_ms = cw_forecast_quantile(t->paces, count, _CW_FAST_PACE_QUANTILE);
    f->fast_pace_at_ms = now_ms;
    double slow_pace_ms = cw_forecast_quantile(t->paces, count, 1 - _CW_FAST_PACE_QUANTILE);
    f->is_shared = f->mode == CW_FORECAST_SHARED || _cw_server_is_uneven(f, count, slow_pace_ms, f->fast_pace_ms);
}

double cw_server_pace_ms(const cw_server_forecast_t* f, const cw_server_learning_t* l, const cw_pool_server_t* s,
                         int64_t now_ms) {
    return f->is_shared ? cw_forecast_pace_ms(&s->forecast, &f->pool, now_ms)
                        : l->prefill.ms_per_token * cw_server_slowdown(s, now_ms);
}

double cw_server_speed_ratio(const cw_server_forecast_t* f, const cw_server_learning_t* l, const cw_pool_server_t* s,
                             double pace_ms) {
    if (!f->is_shared) {
        return cw_server_interval_ratio(l, s);
    }
    bool is_known = cw_forecast_is_known(&s->forecast) && f->fast_pace_ms > 0;
    double ratio = is_known ? pace_ms / f->fast_pace_ms : 1;
    return ratio < _CW_SPEED_RATIO_MIN ? 1 : ratio > _CW_SPEED_RATIO_MAX ? _CW_SPEED_RATIO_MAX : ratio;
}

/* Pending tokens of this host's prompts at least as urgent, in the unit of load reports. */
static uint32_t _cw_server_pending_units(const cw_pool_server_t* s, uint32_t urgency) {
    uint64_t units =
        (cw_forecast_pending_tokens(&s->forecast, urgency) + CW_FORECAST_UNIT_TOKENS - 1) / CW_FORECAST_UNIT_TOKENS;
    return units < UINT32_MAX ? (uint32_t)units : UINT32_MAX;
}

void cw_server_forecast_fill_load(const cw_server_forecast_t* f, const cw_pool_server_t* s, int64_t now_ms,
                                  cw_load_t* load) {
    if (!f->is_measured || !s->spec.memory_tokens) {
        return;
    }
    load->pace_ns = cw_forecast_pace_to_send_ns(&s->forecast, &f->pool, now_ms);
    load->longest_gap_ms = cw_gap_forecast_to_send_ms(&s->gap_forecast, &f->gaps, now_ms);
    load->pending_units = _cw_server_pending_units(s, CW_URGENCY_LEVELS - 1);
    if (!f->is_shared) {
        return;
    }
    load->backlog_unit = CW_LOAD_UNIT_TOKENS;
    load->event_interval_us = 0;
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS; i++) {
        load->backlog_ms[i] = _cw_server_pending_units(s, i);
    }
}

void cw_server_forecast_on_peer(cw_server_forecast_t* f, cw_pool_server_t* s, int64_t now_ms, const cw_load_t* load) {
    cw_forecast_on_peer(&s->forecast, &f->pool, now_ms, load->pace_ns / _CW_FORECAST_NS_IN_MS);
    cw_gap_forecast_on_peer(&s->gap_forecast, &f->gaps, now_ms, load->longest_gap_ms);
}

#endif /* CHALKWAY_SERVER_FORECAST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
