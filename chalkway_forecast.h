#ifndef CHALKWAY_FORECAST_H
#define CHALKWAY_FORECAST_H
/*
    chalkway_forecast.h -- forecast of the time to the first event at an engine

    WHAT IT IS
        One host's forecast for the engines of a pool. The backlog of an
        engine is a number of prompt tokens by urgency. It changes with events
        only, never with the clock, so an overloaded engine does not look idle
        once the predicted time has passed. The pace of an engine is its time
        per prompt token. It is learned from this host's first events and from
        the samples that other hosts report.

        The forecast error is the ratio of observed to predicted times of the
        pool's last first events.

    HOW TO USE IT
            cw_forecast_pool_t pool = cw_forecast_pool_init();
            cw_forecast_t engine = {0};
            cw_forecast_prompt_t prompt = {.urgency = 1, .tokens = 4000, .tokens_ahead = 9000, .base_ms = 5};
            cw_forecast_plan_t plan = cw_forecast_begin(&engine, &pool, now_ms, &prompt);
            cw_forecast_first_event(&engine, &pool, now_ms, &plan); // at the first event
            cw_forecast_end(&engine, &plan); // at the end, with or without a first event

    WHAT IT DOES NOT DO
        It does not sum the load of several hosts: the caller passes the
        tokens ahead of a prompt. It does not predict gaps between events, see
        chalkway_gap_forecast.h.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_FORECAST_UNIT_TOKENS 16    /* unit in which hosts report their pending tokens */
#define CW_FORECAST_FRESH_MS 300      /* a sample is reported to the peers up to this age */
#define CW_FORECAST_WARM_UP_SAMPLES 8 /* from then on samples have their usual weight */
#define CW_FORECAST_ERROR_SAMPLES 256 /* first events over which the forecast error is computed */

/* Which forecast the hosts of a fleet use. */
typedef enum cw_forecast_mode_t {
    CW_FORECAST_AUTO = 0, /* this one in large fleets, the host's own one in small fleets */
    CW_FORECAST_SHARED,   /* this one */
    CW_FORECAST_OWN       /* from the host's own requests alone (chalkway_server_learning.h) */
} cw_forecast_mode_t;

/* State of a pool. */
typedef struct cw_forecast_pool_t {
    double mean_pace_ms; /* time per prompt token, mean over the engines */
    int64_t resumed_ms;  /* time of the last resume from suspend, 0: none */
} cw_forecast_pool_t;

/* A prompt as it is sent to an engine. */
typedef struct cw_forecast_prompt_t {
    uint32_t urgency;
    uint32_t tokens;     /* tokens to prefill: neither cached nor fetched */
    double tokens_ahead; /* pending tokens of all hosts that the engine prefills first */
    double base_ms;      /* fixed part of the time to the first event */
    double fetch_ms;     /* time to fetch cached tokens from another engine */
} cw_forecast_prompt_t;

/* A prompt at an engine, from cw_forecast_begin to cw_forecast_end. */
typedef struct cw_forecast_plan_t {
    cw_forecast_prompt_t prompt;
    int64_t begun_ms;
    double expected_ms; /* predicted time to the first event */
    bool is_pending;    /* its tokens count as pending */
} cw_forecast_plan_t;

/* State of an engine. All zero: unknown. */
typedef struct cw_forecast_t {
    uint64_t pending_tokens[CW_URGENCY_LEVELS]; /* of this host's prompts at least as urgent */
    double pace_ms;                             /* learned time per prompt token, at updated_ms; 0: unknown */
    int64_t updated_ms;                         /* time of the last sample of any host */
    uint32_t samples;                           /* of all hosts, up to CW_FORECAST_WARM_UP_SAMPLES */
    int64_t sample_at_ms;                       /* time of that sample; 0: none */
} cw_forecast_t;

/* Ratios of observed to predicted times to the first event. All zero: none. */
typedef struct cw_forecast_error_t {
    float ratios[CW_FORECAST_ERROR_SAMPLES];
    uint32_t count; /* ratios added so far */
} cw_forecast_error_t;

/* A pool without samples. */
cw_forecast_pool_t cw_forecast_pool_init(void);
/* Records that the host resumed from suspend: samples that span the suspension are dropped. */
void cw_forecast_on_resume(cw_forecast_pool_t* pool, int64_t now_ms);
/* Records that a prompt is sent to the engine. */
cw_forecast_plan_t cw_forecast_begin(cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms,
                                     const cw_forecast_prompt_t* prompt);
/* Records the first event: removes the prompt's tokens and learns the pace. Returns observed / predicted time; 0: the
   prompt was removed before, or its time spans a suspension. */
double cw_forecast_first_event(cw_forecast_t* f, cw_forecast_pool_t* pool, int64_t now_ms, cw_forecast_plan_t* plan);
/* Records the end of the attempt: removes the prompt's tokens if there was no first event. */
void cw_forecast_end(cw_forecast_t* f, cw_forecast_plan_t* plan);
/* Records a pace, ms per token, that another host reported; 0: it has no fresh sample. */
void cw_forecast_on_peer(cw_forecast_t* f, cw_forecast_pool_t* pool, int64_t now_ms, double pace_ms);
/* Pending tokens of this host's prompts at least as urgent. */
uint64_t cw_forecast_pending_tokens(const cw_forecast_t* f, uint32_t urgency);
/* Whether the pace of the engine is known. */
bool cw_forecast_is_known(const cw_forecast_t* f);
/* Time per prompt token, ms; the pool's mean while it is unknown. Without samples it decays towards that
   mean. */
double cw_forecast_pace_ms(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms);
/* The pace to report to the peers, ns per token; 0: this host has no fresh sample. */
uint32_t cw_forecast_pace_to_send_ns(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms);
/* Time to prefill so many pending tokens, ms. */
double cw_forecast_wait_ms(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms, double tokens);
/* Predicted time to the first event of the prompt, ms. */
double cw_forecast_first_event_ms(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms,
                                  const cw_forecast_prompt_t* prompt);
/* Adds a ratio as returned by cw_forecast_first_event; 0 is ignored. */
void cw_forecast_error_add(cw_forecast_error_t* e, double ratio);
/* Quantile, 0..1, of the last ratios; 0: there are none. */
double cw_forecast_error_quantile(const cw_forecast_error_t* e, double quantile);
/* Quantile of count values, which are reordered; 0: there are none. O(count). */
double cw_forecast_quantile(float* values, uint32_t count, double quantile);

#endif /* CHALKWAY_FORECAST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_FORECAST_IMPL_INCLUDED
#define CHALKWAY_FORECAST_IMPL_INCLUDED

#include <math.h>
#include <string.h>

#define _CW_FORECAST_INITIAL_PACE_MS 0.02 /* as the initial prefill time of chalkway_prefill.h */
/* Fewer tokens measure the time of a step of the engine rather than its pace. */
#define _CW_FORECAST_SAMPLE_TOKENS_MIN 1000.0
#define _CW_FORECAST_OWN_WEIGHT 0.3
#define _CW_FORECAST_PEER_WEIGHT 0.15
#define _CW_FORECAST_MEAN_OWN_WEIGHT 0.02   /* of an own sample in the pool's mean */
#define _CW_FORECAST_MEAN_PEER_WEIGHT 0.005 /* of a peer's sample in the pool's mean */
/* Limits of a sample, relative to the pool's mean. */
#define _CW_FORECAST_SAMPLE_MIN 0.2
#define _CW_FORECAST_SAMPLE_MAX 10.0
/* Limits of the pool's mean, ms per token: no engine is outside of them, so a series of wrong samples can't move the
   mean to where it no longer recovers. */
#define _CW_FORECAST_MEAN_MIN_MS 1e-4
#define _CW_FORECAST_MEAN_MAX_MS 4.0
#define _CW_FORECAST_NS_PER_MS 1e6
/* Time constant of the decay of an engine's pace towards the pool's mean while no host has a sample: an engine that was
   slow under a past load is tried again. */
#define _CW_FORECAST_DECAY_MS 10000.0

cw_forecast_pool_t cw_forecast_pool_init(void) {
    return (cw_forecast_pool_t){.mean_pace_ms = _CW_FORECAST_INITIAL_PACE_MS};
}

void cw_forecast_on_resume(cw_forecast_pool_t* pool, int64_t now_ms) {
    pool->resumed_ms = now_ms;
}

static double _cw_forecast_within(double value, double min, double max) {
    return value < min ? min : value > max ? max : value;
}

static double _cw_forecast_clamp_sample(const cw_forecast_pool_t* pool, double pace_ms) {
    return _cw_forecast_within(pace_ms, _CW_FORECAST_SAMPLE_MIN * pool->mean_pace_ms,
                               _CW_FORECAST_SAMPLE_MAX * pool->mean_pace_ms);
}

/* The first samples count more, like those of a mean to which the pool's mean is the first one, so that uneven engines
   are told apart within their first few prompts. */
static double _cw_forecast_weight(const cw_forecast_t* f, double weight) {
    double warm_up = 1.0 / (f->samples + 2);
    return warm_up > weight ? warm_up : weight;
}

static void _cw_forecast_learn(cw_forecast_t* f, cw_forecast_pool_t* pool, int64_t now_ms, double sample_ms,
                               double weight, double mean_weight) {
    double old_ms = cw_forecast_pace_ms(f, pool, now_ms);
    f->pace_ms = old_ms + _cw_forecast_weight(f, weight) * (sample_ms - old_ms);
    f->samples += f->samples < CW_FORECAST_WARM_UP_SAMPLES;
    f->updated_ms = now_ms;
    pool->mean_pace_ms += mean_weight * (sample_ms - pool->mean_pace_ms);
    pool->mean_pace_ms = _cw_forecast_within(pool->mean_pace_ms, _CW_FORECAST_MEAN_MIN_MS, _CW_FORECAST_MEAN_MAX_MS);
}

static bool _cw_forecast_spans_suspension(const cw_forecast_pool_t* pool, int64_t begun_ms) {
    return pool->resumed_ms && begun_ms <= pool->resumed_ms;
}

cw_forecast_plan_t cw_forecast_begin(cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms,
                                     const cw_forecast_prompt_t* prompt) {
    cw_forecast_plan_t plan = {.prompt = *prompt,
                               .begun_ms = now_ms,
                               .expected_ms = cw_forecast_first_event_ms(f, pool, now_ms, prompt),
                               .is_pending = true};
    for (uint32_t i = cw_urgency_level(prompt->urgency); i < CW_URGENCY_LEVELS; i++) {
        f->pending_tokens[i] += prompt->tokens;
    }
    return plan;
}

/* Removes the prompt's tokens. */
static void _cw_forecast_remove(cw_forecast_t* f, cw_forecast_plan_t* plan) {
    plan->is_pending = false;
    for (uint32_t i = cw_urgency_level(plan->prompt.urgency); i < CW_URGENCY_LEVELS; i++) {
        uint64_t* pending = &f->pending_tokens[i];
        *pending -= plan->prompt.tokens < *pending ? plan->prompt.tokens : *pending;
    }
}

void cw_forecast_end(cw_forecast_t* f, cw_forecast_plan_t* plan) {
    if (plan->is_pending) {
        _cw_forecast_remove(f, plan);
    }
}

double cw_forecast_first_event(cw_forecast_t* f, cw_forecast_pool_t* pool, int64_t now_ms, cw_forecast_plan_t* plan) {
    if (!plan->is_pending) {
        return 0;
    }
    _cw_forecast_remove(f, plan);
    if (_cw_forecast_spans_suspension(pool, plan->begun_ms)) {
        return 0;
    }
    const cw_forecast_prompt_t* prompt = &plan->prompt;
    double took_ms = (double)(now_ms - plan->begun_ms);
    double tokens = prompt->tokens_ahead + prompt->tokens;
    if (tokens >= _CW_FORECAST_SAMPLE_TOKENS_MIN) {
        double sample_ms = (took_ms - prompt->base_ms - prompt->fetch_ms) / tokens;
        _cw_forecast_learn(f, pool, now_ms, _cw_forecast_clamp_sample(pool, sample_ms), _CW_FORECAST_OWN_WEIGHT,
                           _CW_FORECAST_MEAN_OWN_WEIGHT);
        f->sample_at_ms = now_ms;
    }
    return plan->expected_ms > 0 ? took_ms / plan->expected_ms : 0;
}

void cw_forecast_on_peer(cw_forecast_t* f, cw_forecast_pool_t* pool, int64_t now_ms, double pace_ms) {
    if (pace_ms > 0) {
        _cw_forecast_learn(f, pool, now_ms, _cw_forecast_clamp_sample(pool, pace_ms), _CW_FORECAST_PEER_WEIGHT,
                           _CW_FORECAST_MEAN_PEER_WEIGHT);
    }
}

uint64_t cw_forecast_pending_tokens(const cw_forecast_t* f, uint32_t urgency) {
    return f->pending_tokens[cw_urgency_level(urgency)];
}

bool cw_forecast_is_known(const cw_forecast_t* f) {
    return f->pace_ms > 0;
}

double cw_forecast_pace_ms(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms) {
    if (f->pace_ms <= 0) {
        return pool->mean_pace_ms;
    }
    double decay = exp(-(double)(now_ms - f->updated_ms) / _CW_FORECAST_DECAY_MS);
    return pool->mean_pace_ms + (f->pace_ms - pool->mean_pace_ms) * decay;
}

uint32_t cw_forecast_pace_to_send_ns(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms) {
    bool is_fresh = f->sample_at_ms && now_ms - f->sample_at_ms < CW_FORECAST_FRESH_MS;
    return is_fresh ? (uint32_t)(cw_forecast_pace_ms(f, pool, now_ms) * _CW_FORECAST_NS_PER_MS) : 0;
}

double cw_forecast_wait_ms(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms, double tokens) {
    return tokens > 0 ? tokens * cw_forecast_pace_ms(f, pool, now_ms) : 0;
}

double cw_forecast_first_event_ms(const cw_forecast_t* f, const cw_forecast_pool_t* pool, int64_t now_ms,
                                  const cw_forecast_prompt_t* prompt) {
    return prompt->base_ms + prompt->fetch_ms +
           cw_forecast_wait_ms(f, pool, now_ms, prompt->tokens_ahead + prompt->tokens);
}

/* -- forecast error ------------------------------------------------------- */

void cw_forecast_error_add(cw_forecast_error_t* e, double ratio) {
    if (ratio > 0) {
        e->ratios[e->count++ % CW_FORECAST_ERROR_SAMPLES] = (float)ratio;
    }
}

double cw_forecast_error_quantile(const cw_forecast_error_t* e, double quantile) {
    float ratios[CW_FORECAST_ERROR_SAMPLES];
    uint32_t count = e->count < CW_FORECAST_ERROR_SAMPLES ? e->count : CW_FORECAST_ERROR_SAMPLES;
    memcpy(ratios, e->ratios, count * sizeof(*ratios));
    return cw_forecast_quantile(ratios, count, quantile);
}

/* Moves smaller values before larger ones around the value in the middle of first..last. Returns the first index of the
   upper part. */
static uint32_t _cw_forecast_partition(float* values, uint32_t first, uint32_t last) {
    float pivot = values[first + (last - first) / 2];
    int64_t low = first;
    int64_t high = last;
    while (low <= high) {
        while (values[low] < pivot) {
            low++;
        }
        while (values[high] > pivot) {
            high--;
        }
        if (low <= high) {
            float swapped = values[low];
            values[low++] = values[high];
            values[high--] = swapped;
        }
    }
    return (uint32_t)low;
}

double cw_forecast_quantile(float* values, uint32_t count, double quantile) {
    if (!count) {
        return 0;
    }
    uint32_t wanted = (uint32_t)(_cw_forecast_within(quantile, 0, 1) * (count - 1) + 0.5);
    uint32_t first = 0;
    uint32_t last = count - 1;
    while (first < last) {
        uint32_t upper = _cw_forecast_partition(values, first, last);
        if (wanted >= upper) {
            first = upper;
        } else {
            last = upper - 1;
        }
    }
    return (double)values[wanted];
}

#endif /* CHALKWAY_FORECAST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
