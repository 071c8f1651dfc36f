#ifndef CHALKWAY_HIST_H
#define CHALKWAY_HIST_H
/*
    chalkway_hist.h -- log-linear histogram and a decaying estimator

    WHAT IT IS
        A histogram of 32-bit values with four buckets for each power of two
        (a relative resolution of 1/4), in a fixed 512 bytes, and an estimator
        that decays old samples by halving all counts.

    HOW TO USE IT
            cw_hist_t hist = {0};
            cw_hist_add(&hist, 120);
            uint32_t p95 = cw_hist_quantile(&hist, 0.95);

            cw_estimate_t est = {0};
            cw_estimate_add(&est, tokens);
            uint32_t cost = cw_estimate_quantile(&est, 0.8, 256);  // 256 while there are too few samples

    WHAT IT DOES NOT DO
        No exact values, no time windows.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_HIST_BUCKETS 124
#define CW_ESTIMATE_MIN_SAMPLES 8 /* samples needed for an estimate */
#define CW_ESTIMATE_WINDOW 2048   /* samples after which all counts are halved */

typedef struct cw_hist_t {
    uint64_t count;
    uint64_t sum;
    uint32_t buckets[CW_HIST_BUCKETS];
} cw_hist_t;

typedef struct cw_estimate_t {
    cw_hist_t hist;
} cw_estimate_t;

void cw_hist_add(cw_hist_t* hist, uint32_t value);
/* Upper bound of the bucket that holds quantile q (0..1); 0 when empty. */
uint32_t cw_hist_quantile(const cw_hist_t* hist, double q);
/* Largest value that bucket i counts. */
uint32_t cw_hist_upper_bound(uint32_t i);
void cw_estimate_add(cw_estimate_t* est, uint32_t value);
/* Quantile q of the samples, or initial while there are too few. */
uint32_t cw_estimate_quantile(const cw_estimate_t* est, double q, uint32_t initial);

/* Mean of the samples, or initial while there are too few. */
uint32_t cw_estimate_mean(const cw_estimate_t* est, uint32_t initial);
/* Smallest time-out t, not below the mean, that wastes at most the given share (0..1) of all work when every run longer
   than t is aborted at t: each aborted run wastes t. Returns initial while there are too few samples. */
uint32_t cw_estimate_cutoff(const cw_estimate_t* est, double share, uint32_t initial);

#endif /* CHALKWAY_HIST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_HIST_IMPL_INCLUDED
#define CHALKWAY_HIST_IMPL_INCLUDED

/* Values 0..7 have a bucket each. Larger ones: the highest set bit and the two bits below it select the bucket. */
static uint32_t _cw_hist_bucket(uint32_t value) {
    if (value < 8) {
        return value;
    }
    uint32_t top = 31U - (uint32_t)__builtin_clz(value);
    return 8 + (top - 3) * 4 + ((value >> (top - 2)) & 3U);
}

uint32_t cw_hist_upper_bound(uint32_t i) {
    if (i < 8) {
        return i;
    }
    uint32_t top = 3 + (i - 8) / 4;
    uint64_t low = (1ULL << top) + ((uint64_t)((i - 8) % 4) << (top - 2));
    uint64_t high = low + (1ULL << (top - 2)) - 1;
    return high > UINT32_MAX ? UINT32_MAX : (uint32_t)high;
}

void cw_hist_add(cw_hist_t* hist, uint32_t value) {
    hist->buckets[_cw_hist_bucket(value)]++;
    hist->count++;
    hist->sum += value;
}

uint32_t cw_hist_quantile(const cw_hist_t* hist, double q) {
    if (!hist->count) {
        return 0;
    }
    double rank = q * (double)hist->count;
    uint64_t seen = 0;
    uint32_t last = 0;
    for (uint32_t i = 0; i < CW_HIST_BUCKETS; i++) {
        if (!hist->buckets[i]) {
            continue;
        }
        seen += hist->buckets[i];
        last = i;
        if ((double)seen >= rank) {
            break;
        }
    }
    return cw_hist_upper_bound(last);
}

void cw_estimate_add(cw_estimate_t* est, uint32_t value) {
    cw_hist_add(&est->hist, value);
    if (est->hist.count < CW_ESTIMATE_WINDOW) {
        return;
    }
    est->hist.count = 0;
    est->hist.sum /= 2;
    for (uint32_t i = 0; i < CW_HIST_BUCKETS; i++) {
        est->hist.buckets[i] /= 2;
        est->hist.count += est->hist.buckets[i];
    }
}

uint32_t cw_estimate_quantile(const cw_estimate_t* est, double q, uint32_t initial) {
    return est->hist.count < CW_ESTIMATE_MIN_SAMPLES ? initial : cw_hist_quantile(&est->hist, q);
}

uint32_t cw_estimate_mean(const cw_estimate_t* est, uint32_t initial) {
    return est->hist.count < CW_ESTIMATE_MIN_SAMPLES ? initial : (uint32_t)(est->hist.sum / est->hist.count);
}

uint32_t cw_estimate_cutoff(const cw_estimate_t* est, double share, uint32_t initial) {
    if (est->hist.count < CW_ESTIMATE_MIN_SAMPLES) {
        return initial;
    }
    uint32_t mean = cw_estimate_mean(est, initial);
    uint64_t above = 0; /* samples in the buckets above i */
    uint32_t cutoff = cw_hist_upper_bound(CW_HIST_BUCKETS - 1);
    for (uint32_t i = CW_HIST_BUCKETS; i-- > 0;) {
        uint32_t bound = cw_hist_upper_bound(i);
        if (bound < mean || (double)above * bound > share * (double)est->hist.sum) {
            break;
        }
        cutoff = bound;
        above += est->hist.buckets[i];
    }
    return cutoff;
}

#endif /* CHALKWAY_HIST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
