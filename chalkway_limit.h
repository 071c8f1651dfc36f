#ifndef CHALKWAY_LIMIT_H
#define CHALKWAY_LIMIT_H
/*
    chalkway_limit.h -- token bucket and retry budget

    WHAT IT IS
        A token bucket over a clock that is passed in, and a retry budget:
        retries are limited to a share of the first attempts, so that they
        cannot multiply a load that is already too high.

    HOW TO USE IT
            cw_bucket_t bucket = {.rate = 5, .burst = 10};     // 5 per second
            if (cw_bucket_take(&bucket, now_ms, 1)) { ... }

            cw_retry_budget_t budget = {.share = 0.1, .burst = 10};
            cw_retry_budget_on_first_attempt(&budget);                // on each first attempt
            if (cw_retry_budget_take(&budget)) { ... }

    WHAT IT DOES NOT DO
        It does not sleep; cw_bucket_wait_ms says how long to wait.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef struct cw_bucket_t {
    double rate;  /* tokens per second; 0 or less: no limit */
    double burst; /* capacity of the bucket, tokens; default: the rate times one second */
    double tokens;
    int64_t at_ms; /* time at which the bucket had these tokens */
    bool started;  /* set by the first take at a limited rate or cw_bucket_set_rate; until then the bucket is full */
} cw_bucket_t;

typedef struct cw_retry_budget_t {
    double share; /* retries allowed for each first attempt */
    double burst; /* most retries that can accumulate */
    double tokens;
} cw_retry_budget_t;

#define CW_RETRY_WINDOW_SLICES 16

/* One daemon's share of a retry budget that many daemons share without communication: in any window of time its retries
   stay within ratio * own first attempts + slack / daemons. The shares sum to at most the whole budget as long as
   daemons is no less than the number of live daemons. */
typedef struct cw_retry_window_t {
    double ratio;         /* retries allowed for each first attempt */
    double slack;         /* additional retries of all daemons together in a window */
    uint32_t window_ms;   /* default 10000 */
    uint32_t daemons;     /* most daemons that were ever known at once, default 1 */
    int64_t newest_slice; /* number of the window's newest slice */
    uint32_t first_attempts[CW_RETRY_WINDOW_SLICES + 1];
    uint32_t retries[CW_RETRY_WINDOW_SLICES + 1];
} cw_retry_window_t;

/* Counts a first attempt. */
void cw_retry_window_on_first_attempt(cw_retry_window_t* w, int64_t now_ms);
/* Takes one retry if the budget allows it. */
bool cw_retry_window_take(cw_retry_window_t* w, int64_t now_ms);
/* Whether the budget allows a retry now. */
bool cw_retry_window_has_room(cw_retry_window_t* w, int64_t now_ms);

/* Takes n tokens if the bucket has them. */
bool cw_bucket_take(cw_bucket_t* bucket, int64_t now_ms, double n);
/* Changes the rate from now on. The bucket keeps its tokens, up to the new burst. */
void cw_bucket_set_rate(cw_bucket_t* bucket, int64_t now_ms, double rate, double burst);
/* Time until the bucket has n tokens, 0: now. */
uint32_t cw_bucket_wait_ms(const cw_bucket_t* bucket, int64_t now_ms, double n);
void cw_retry_budget_on_first_attempt(cw_retry_budget_t* budget);
bool cw_retry_budget_take(cw_retry_budget_t* budget);

#endif /* CHALKWAY_LIMIT_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_LIMIT_IMPL_INCLUDED
#define CHALKWAY_LIMIT_IMPL_INCLUDED

#define _CW_RETRY_WINDOW_MS 10000U

/* Clears the slices that have left the window. One slice more than the window's length is counted, so that any span of
   that length is covered. */
static void _cw_retry_window_advance(cw_retry_window_t* w, int64_t now_ms) {
    uint32_t window_ms = w->window_ms ? w->window_ms : _CW_RETRY_WINDOW_MS;
    int64_t slice = now_ms * CW_RETRY_WINDOW_SLICES / window_ms;
    int64_t first_new =
        slice - w->newest_slice > CW_RETRY_WINDOW_SLICES ? slice - CW_RETRY_WINDOW_SLICES : w->newest_slice + 1;
    for (int64_t i = first_new; i <= slice; i++) {
        w->first_attempts[i % (CW_RETRY_WINDOW_SLICES + 1)] = 0;
        w->retries[i % (CW_RETRY_WINDOW_SLICES + 1)] = 0;
    }
    w->newest_slice = slice > w->newest_slice ? slice : w->newest_slice;
}

void cw_retry_window_on_first_attempt(cw_retry_window_t* w, int64_t now_ms) {
    _cw_retry_window_advance(w, now_ms);
    w->first_attempts[w->newest_slice % (CW_RETRY_WINDOW_SLICES + 1)]++;
}

bool cw_retry_window_has_room(cw_retry_window_t* w, int64_t now_ms) {
    _cw_retry_window_advance(w, now_ms);
    uint32_t first_attempts = 0;
    uint32_t retries = 0;
    for (int i = 0; i <= CW_RETRY_WINDOW_SLICES; i++) {
        first_attempts += w->first_attempts[i];
        retries += w->retries[i];
    }
    double slack_share = w->slack / (w->daemons ? w->daemons : 1);
    return retries + 1 <=
           w->ratio * first_attempts * CW_RETRY_WINDOW_SLICES / (CW_RETRY_WINDOW_SLICES + 1) + slack_share;
}

bool cw_retry_window_take(cw_retry_window_t* w, int64_t now_ms) {
    if (!cw_retry_window_has_room(w, now_ms)) {
        return false;
    }
    w->retries[w->newest_slice % (CW_RETRY_WINDOW_SLICES + 1)]++;
    return true;
}

static double _cw_bucket_tokens(const cw_bucket_t* bucket, int64_t now_ms) {
    double burst = bucket->burst > 0 ? bucket->burst : bucket->rate;
    burst = burst < 1 ? 1 : burst;
    if (!bucket->started) {
        return burst;
    }
    double tokens = bucket->tokens + bucket->rate * (double)(now_ms - bucket->at_ms) / 1000.0;
    return tokens > burst ? burst : tokens;
}

bool cw_bucket_take(cw_bucket_t* bucket, int64_t now_ms, double n) {
    if (bucket->rate <= 0) {
        return true;
    }
    bucket->tokens = _cw_bucket_tokens(bucket, now_ms);
    bucket->at_ms = now_ms;
    bucket->started = true;
    if (bucket->tokens < n) {
        return false;
    }
    bucket->tokens -= n;
    return true;
}

void cw_bucket_set_rate(cw_bucket_t* bucket, int64_t now_ms, double rate, double burst) {
    double tokens = bucket->rate > 0 || !bucket->started ? _cw_bucket_tokens(bucket, now_ms) : bucket->tokens;
    bucket->tokens = tokens < burst ? tokens : burst;
    bucket->at_ms = now_ms;
    bucket->started = true;
    bucket->rate = rate;
    bucket->burst = burst;
}

uint32_t cw_bucket_wait_ms(const cw_bucket_t* bucket, int64_t now_ms, double n) {
    if (bucket->rate <= 0) {
        return 0;
    }
    double missing = n - _cw_bucket_tokens(bucket, now_ms);
    return missing > 0 ? (uint32_t)(missing / bucket->rate * 1000.0) + 1 : 0;
}

void cw_retry_budget_on_first_attempt(cw_retry_budget_t* budget) {
    budget->tokens += budget->share;
    if (budget->tokens > budget->burst) {
        budget->tokens = budget->burst;
    }
}

bool cw_retry_budget_take(cw_retry_budget_t* budget) {
    if (budget->tokens < 1.0) {
        return false;
    }
    budget->tokens -= 1.0;
    return true;
}

#endif /* CHALKWAY_LIMIT_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
