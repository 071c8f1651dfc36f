#ifndef CHALKWAY_GAP_FORECAST_H
#define CHALKWAY_GAP_FORECAST_H
/*
    chalkway_gap_forecast.h -- forecast of the longest gap of a stream at an engine

    WHAT IT IS
        One host's estimate of the longest gap between events of a stream, for
        the engines of a pool. Each stream that ends gives one sample, its
        longest gap; other hosts report their estimates. Engines differ in
        their gaps for reasons that the load does not show, such as their
        hardware, so the estimate is kept for each engine.

        While an engine has no samples, its estimate decays towards the pool's
        mean: an engine that had long gaps under a past load is tried again.

    HOW TO USE IT
            cw_gap_forecast_pool_t pool = {0};
            cw_gap_forecast_t engine = {0};
            cw_gap_stream_t stream = cw_gap_stream_begin(now_ms);     // at the first event
            cw_gap_stream_on_event(&stream, &pool, now_ms);           // at each further event
            cw_gap_forecast_end(&engine, &pool, now_ms, &stream);     // at the end
            double risk = cw_gap_forecast_risk(&engine, &pool, now_ms, gap_limit_ms);

    WHAT IT DOES NOT DO
        It does not predict stalls by the prompts that are prefilled now, see
        chalkway_stall.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_GAP_FORECAST_FRESH_MS 300 /* an estimate is reported to the peers up to this age of its last own sample */
#define CW_GAP_FORECAST_EVENTS_MIN 3 /* a stream with fewer events gives no sample */

/* State of a pool. All zero: no samples. */
typedef struct cw_gap_forecast_pool_t {
    double mean_ms;     /* longest gap of a stream, mean over the engines; 0: unknown */
    int64_t resumed_ms; /* time of the last resume from suspend, 0: none */
} cw_gap_forecast_pool_t;

/* State of an engine. All zero: unknown. */
typedef struct cw_gap_forecast_t {
    double gap_ms;        /* estimate at updated_ms; 0: unknown */
    int64_t updated_ms;   /* time of the last sample, of any host */
    int64_t sample_at_ms; /* time of this host's last sample; 0: none */
} cw_gap_forecast_t;

/* A stream that has begun. */
typedef struct cw_gap_stream_t {
    uint32_t events;
    uint32_t longest_gap_ms;
    int64_t last_event_ms;
} cw_gap_stream_t;

/* Records that the host resumed from suspend: gaps that span the suspension are dropped. */
void cw_gap_forecast_on_resume(cw_gap_forecast_pool_t* pool, int64_t now_ms);
/* A stream whose first event arrives now. */
cw_gap_stream_t cw_gap_stream_begin(int64_t now_ms);
/* Records a further event. */
void cw_gap_stream_on_event(cw_gap_stream_t* stream, const cw_gap_forecast_pool_t* pool, int64_t now_ms);
/* Records the end of a stream. */
void cw_gap_forecast_end(cw_gap_forecast_t* f, cw_gap_forecast_pool_t* pool, int64_t now_ms,
                         const cw_gap_stream_t* stream);
/* Records an estimate that another host reported; 0: it has no fresh one. */
void cw_gap_forecast_on_peer(cw_gap_forecast_t* f, cw_gap_forecast_pool_t* pool, int64_t now_ms, uint32_t gap_ms);
/* Expected longest gap of a stream, ms; the pool's mean while it is unknown, 0 while that is unknown, too. */
double cw_gap_forecast_ms(const cw_gap_forecast_t* f, const cw_gap_forecast_pool_t* pool, int64_t now_ms);
/* The estimate to report to the peers, ms; 0: no fresh sample. */
uint32_t cw_gap_forecast_to_send_ms(const cw_gap_forecast_t* f, const cw_gap_forecast_pool_t* pool, int64_t now_ms);
/* Probability, 0..1, that a stream with an expected longest gap of gap_ms exceeds its gap limit (0: it has none). */
double cw_gap_risk(double gap_ms, uint32_t gap_limit_ms);
/* The same for a stream at the engine. */
double cw_gap_forecast_risk(const cw_gap_forecast_t* f, const cw_gap_forecast_pool_t* pool, int64_t now_ms,
                            uint32_t gap_limit_ms);

#endif /* CHALKWAY_GAP_FORECAST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_GAP_FORECAST_IMPL_INCLUDED
#define CHALKWAY_GAP_FORECAST_IMPL_INCLUDED

#include <math.h>

#define _CW_GAP_FORECAST_WEIGHT 0.2       /* of this host's sample */
#define _CW_GAP_FORECAST_PEER_WEIGHT 0.15 /* of a peer's estimate */
#define _CW_GAP_FORECAST_MEAN_WEIGHT 0.05 /* the same in the pool's mean */
#define _CW_GAP_FORECAST_MEAN_PEER_WEIGHT 0.01
#define _CW_GAP_FORECAST_DECAY_MS 10000.0 /* time constant of the decay towards the pool's mean */
/* Estimate, as a share of the gap limit, from which the probability rises from 0, and where it is 1 (as in
   chalkway_stall.h). */
#define _CW_GAP_FORECAST_RISK_FROM 0.7
#define _CW_GAP_FORECAST_RISK_TO 1.3
/* Longer gaps count as this one, so that the pool's mean recovers soon after a hang. */
#define _CW_GAP_FORECAST_MAX_MS 60000.0

void cw_gap_forecast_on_resume(cw_gap_forecast_pool_t* pool, int64_t now_ms) {
    pool->resumed_ms = now_ms;
}

cw_gap_stream_t cw_gap_stream_begin(int64_t now_ms) {
    return (cw_gap_stream_t){.events = 1, .last_event_ms = now_ms};
}

void cw_gap_stream_on_event(cw_gap_stream_t* stream, const cw_gap_forecast_pool_t* pool, int64_t now_ms) {
    bool spans_suspension = pool->resumed_ms && stream->last_event_ms <= pool->resumed_ms;
    int64_t gap_ms = spans_suspension ? 0 : now_ms - stream->last_event_ms;
    if (gap_ms > (int64_t)stream->longest_gap_ms) {
        stream->longest_gap_ms = (uint32_t)gap_ms;
    }
    stream->events += stream->events < UINT32_MAX;
    stream->last_event_ms = now_ms;
}

double cw_gap_forecast_ms(const cw_gap_forecast_t* f, const cw_gap_forecast_pool_t* pool, int64_t now_ms) {
    if (f->gap_ms <= 0) {
        return pool->mean_ms;
    }
    double decay = exp(-(double)(now_ms - f->updated_ms) / _CW_GAP_FORECAST_DECAY_MS);
    return pool->mean_ms + (f->gap_ms - pool->mean_ms) * decay;
}

static void _cw_gap_forecast_learn(cw_gap_forecast_t* f, cw_gap_forecast_pool_t* pool, int64_t now_ms, double gap_ms,
                                   double weight, double mean_weight) {
    double sample_ms = gap_ms < _CW_GAP_FORECAST_MAX_MS ? gap_ms : _CW_GAP_FORECAST_MAX_MS;
    pool->mean_ms += (pool->mean_ms > 0 ? mean_weight : 1) * (sample_ms - pool->mean_ms);
    double old_ms = cw_gap_forecast_ms(f, pool, now_ms);
    f->gap_ms = old_ms + weight * (sample_ms - old_ms);
    f->updated_ms = now_ms;
}

void cw_gap_forecast_end(cw_gap_forecast_t* f, cw_gap_forecast_pool_t* pool, int64_t now_ms,
                         const cw_gap_stream_t* stream) {
    if (stream->events >= CW_GAP_FORECAST_EVENTS_MIN && stream->longest_gap_ms) {
        _cw_gap_forecast_learn(f, pool, now_ms, stream->longest_gap_ms, _CW_GAP_FORECAST_WEIGHT,
                               _CW_GAP_FORECAST_MEAN_WEIGHT);
        f->sample_at_ms = now_ms;
    }
}

void cw_gap_forecast_on_peer(cw_gap_forecast_t* f, cw_gap_forecast_pool_t* pool, int64_t now_ms, uint32_t gap_ms) {
    if (gap_ms) {
        _cw_gap_forecast_learn(f, pool, now_ms, gap_ms, _CW_GAP_FORECAST_PEER_WEIGHT,
                               _CW_GAP_FORECAST_MEAN_PEER_WEIGHT);
    }
}

uint32_t cw_gap_forecast_to_send_ms(const cw_gap_forecast_t* f, const cw_gap_forecast_pool_t* pool, int64_t now_ms) {
    bool is_fresh = f->sample_at_ms && now_ms - f->sample_at_ms < CW_GAP_FORECAST_FRESH_MS;
    return is_fresh ? (uint32_t)cw_gap_forecast_ms(f, pool, now_ms) : 0;
}

double cw_gap_risk(double gap_ms, uint32_t gap_limit_ms) {
    if (!gap_limit_ms) {
        return 0;
    }
    double ratio = gap_ms / gap_limit_ms;
    double risk = (ratio - _CW_GAP_FORECAST_RISK_FROM) / (_CW_GAP_FORECAST_RISK_TO - _CW_GAP_FORECAST_RISK_FROM);
    return risk < 0 ? 0 : risk > 1 ? 1 : risk;
}

double cw_gap_forecast_risk(const cw_gap_forecast_t* f, const cw_gap_forecast_pool_t* pool, int64_t now_ms,
                            uint32_t gap_limit_ms) {
    return cw_gap_risk(cw_gap_forecast_ms(f, pool, now_ms), gap_limit_ms);
}

#endif /* CHALKWAY_GAP_FORECAST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
