#ifndef CHALKWAY_STALL_H
#define CHALKWAY_STALL_H
/*
    chalkway_stall.h -- stalls of streams while prompts are prefilled

    WHAT IT IS
        While an engine prefills a prompt, its streams stall: the gaps between
        their events grow with the length of the prompt. This module learns a
        high quantile of these gaps for each prompt length, and derives the
        probability that a prompt stalls a stream beyond its gap limit. The
        quantile estimator is available for other values, too.

    HOW TO USE IT
            cw_stalls_t s = {0};
            cw_stalls_learn(&s, tokens, stall_ms);
            double risk = cw_stalls_violation_risk(&s, tokens, gap_ms, prefill_ms_per_token, prefill_left_ms);

    WHAT IT DOES NOT DO
        It has no knowledge of servers and streams.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_STALL_LENGTH_CLASSES 20 /* two for each power of two of the prompt length */

/* Updates an estimate of a quantile of a changing value with a sample: the estimate moves towards a larger sample by
   the share up of the distance, towards a smaller one by the share down. Returns the new estimate. */
double cw_quantile_update(double estimate, double sample, double up, double down);

/* All zero: no samples. */
typedef struct cw_stalls_t {
    double stall_ms[CW_STALL_LENGTH_CLASSES]; /* 0: no samples */
    uint32_t samples[CW_STALL_LENGTH_CLASSES];
} cw_stalls_t;

/* Records a gap of stall_ms between events of a stream while a prompt of so many tokens was prefilled. */
void cw_stalls_learn(cw_stalls_t* s, uint32_t tokens, double stall_ms);
/* Expected gap, ms. It is no shorter than that of any shorter prompt with samples; for a length with few samples it is
   at least the whole prefill time of the prompt. */
double cw_stalls_expected_ms(const cw_stalls_t* s, uint32_t tokens, double prefill_ms_per_token);
/* Probability, 0..1, that a prompt of so many tokens stalls a stream beyond its gap limit of gap_ms (0: no limit),
   while the prompts at the server take prefill_left_ms to prefill: no stall is longer than that. */
double cw_stalls_violation_risk(const cw_stalls_t* s, uint32_t tokens, uint32_t gap_ms, double prefill_ms_per_token,
                                double prefill_left_ms);

#endif /* CHALKWAY_STALL_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STALL_IMPL_INCLUDED
#define CHALKWAY_STALL_IMPL_INCLUDED

#include <math.h>

#define _CW_STALL_LENGTH_MIN 256.0 /* tokens, base of the length classes */
#define _CW_STALL_UP 0.2           /* weight of a gap above the estimate, which is a high quantile */
#define _CW_STALL_DOWN 0.02        /* weight of a gap below the estimate */
#define _CW_STALL_RISK_FROM 0.7  /* gap, as a share of the limit, where the probability rises from 0; it is 1 at 1.3 */
#define _CW_STALL_SAMPLES_MIN 10 /* with fewer samples the estimate of a length class is not used alone */

double cw_quantile_update(double estimate, double sample, double up, double down) {
    return estimate + (sample > estimate ? up : down) * (sample - estimate);
}

static uint32_t _cw_stalls_length_class(uint32_t tokens) {
    double halves = tokens > _CW_STALL_LENGTH_MIN ? 2 * log2(tokens / _CW_STALL_LENGTH_MIN) : 0;
    return halves < CW_STALL_LENGTH_CLASSES - 1 ? (uint32_t)halves : CW_STALL_LENGTH_CLASSES - 1;
}

void cw_stalls_learn(cw_stalls_t* s, uint32_t tokens, double stall_ms) {
    uint32_t length_class = _cw_stalls_length_class(tokens);
    s->samples[length_class]++;
    s->stall_ms[length_class] = cw_quantile_update(s->stall_ms[length_class], stall_ms, _CW_STALL_UP, _CW_STALL_DOWN);
}

double cw_stalls_expected_ms(const cw_stalls_t* s, uint32_t tokens, double prefill_ms_per_token) {
    double stall_ms = 0;
    uint32_t length_class = _cw_stalls_length_class(tokens);
    for (uint32_t i = 0; i <= length_class; i++) {
        stall_ms = s->stall_ms[i] > stall_ms ? s->stall_ms[i] : stall_ms;
    }
    double prefill_ms = prefill_ms_per_token * tokens;
    return s->samples[length_class] < _CW_STALL_SAMPLES_MIN && prefill_ms > stall_ms ? prefill_ms : stall_ms;
}

double cw_stalls_violation_risk(const cw_stalls_t* s, uint32_t tokens, uint32_t gap_ms, double prefill_ms_per_token,
                                double prefill_left_ms) {
    if (!gap_ms) {
        return 0;
    }
    double stall_ms = cw_stalls_expected_ms(s, tokens, prefill_ms_per_token);
    double ratio = (stall_ms < prefill_left_ms ? stall_ms : prefill_left_ms) / gap_ms;
    double risk = (ratio - _CW_STALL_RISK_FROM) / (2 * (1 - _CW_STALL_RISK_FROM));
    return risk < 0 ? 0 : risk > 1 ? 1 : risk;
}

#endif /* CHALKWAY_STALL_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
