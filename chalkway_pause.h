#ifndef CHALKWAY_PAUSE_H
#define CHALKWAY_PAUSE_H
/*
    chalkway_pause.h -- how long streams pause beside prompts of each length

    WHAT IT IS
        While an engine reads a prompt, the answers that stream there pause
        longer between events, the more the longer the prompt is. This learns
        a high quantile of those pauses for each length of prompt, and from
        it how likely a prompt makes a stream late. Also the learned quantile
        itself, for other values.

    HOW TO USE IT
            cw_pauses_t p = {0};
            cw_pauses_learn(&p, tokens, pause_ms);
            double harm = cw_pauses_harm(&p, tokens, gap_ms, read_ms_per_token, unread_ms);

    WHAT IT DOES NOT DO
        It knows neither servers nor streams.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PAUSE_DEPTHS 20 /* kinds of prompts by length: powers of two, in halves */

/* A quantile of a changing value, learned sample by sample: it moves by the share up of the distance to a larger
   sample, and by the share down of that to a smaller one. */
double cw_quantile_learn(double learned, double sample, double up, double down);

/* All zero: nothing was seen. */
typedef struct cw_pauses_t {
    double pause_ms[CW_PAUSE_DEPTHS]; /* 0: not seen */
    uint32_t samples[CW_PAUSE_DEPTHS];
} cw_pauses_t;

/* A stream paused for so long while a prompt of so many tokens was read beside it. */
void cw_pauses_learn(cw_pauses_t* p, uint32_t tokens, double pause_ms);
/* Pause to be expected. A longer prompt is taken to be no less harmful than any shorter one that was seen; one of a
   length that few streams have met is taken to hold them up for as long as it is read. */
double cw_pauses_expected(const cw_pauses_t* p, uint32_t tokens, double read_ms_per_token);
/* How likely a prompt of so many tokens makes a stream late that may pause for gap_ms (0: any time), 0..1, while the
   prompts there take unread_ms to read: no pause is longer than that. */
double cw_pauses_harm(const cw_pauses_t* p, uint32_t tokens, uint32_t gap_ms, double read_ms_per_token,
                      double unread_ms);

#endif /* CHALKWAY_PAUSE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PAUSE_IMPL_INCLUDED
#define CHALKWAY_PAUSE_IMPL_INCLUDED

#include <math.h>

#define _CW_PAUSE_DEPTH_MIN 256.0 /* tokens of the shortest kind */
#define _CW_PAUSE_UP 0.2          /* weight of a pause longer than learned: a high quantile is wanted */
#define _CW_PAUSE_DOWN 0.02       /* weight of a shorter one */
#define _CW_PAUSE_LATE_FROM 0.7   /* share of the longest pause from which a learned pause counts as harm, to 1.3 */
#define _CW_PAUSE_FEW 10          /* fewer pauses beside prompts of a length say nothing */

double cw_quantile_learn(double learned, double sample, double up, double down) {
    return learned + (sample > learned ? up : down) * (sample - learned);
}

static uint32_t _cw_pauses_depth(uint32_t tokens) {
    double halves = tokens > _CW_PAUSE_DEPTH_MIN ? 2 * log2(tokens / _CW_PAUSE_DEPTH_MIN) : 0;
    return halves < CW_PAUSE_DEPTHS - 1 ? (uint32_t)halves : CW_PAUSE_DEPTHS - 1;
}

void cw_pauses_learn(cw_pauses_t* p, uint32_t tokens, double pause_ms) {
    uint32_t depth = _cw_pauses_depth(tokens);
    p->samples[depth]++;
    p->pause_ms[depth] = cw_quantile_learn(p->pause_ms[depth], pause_ms, _CW_PAUSE_UP, _CW_PAUSE_DOWN);
}

double cw_pauses_expected(const cw_pauses_t* p, uint32_t tokens, double read_ms_per_token) {
    double pause_ms = 0;
    uint32_t depth = _cw_pauses_depth(tokens);
    for (uint32_t i = 0; i <= depth; i++) {
        pause_ms = p->pause_ms[i] > pause_ms ? p->pause_ms[i] : pause_ms;
    }
    double whole_ms = read_ms_per_token * tokens;
    return p->samples[depth] < _CW_PAUSE_FEW && whole_ms > pause_ms ? whole_ms : pause_ms;
}

double cw_pauses_harm(const cw_pauses_t* p, uint32_t tokens, uint32_t gap_ms, double read_ms_per_token,
                      double unread_ms) {
    if (!gap_ms) {
        return 0;
    }
    double pause_ms = cw_pauses_expected(p, tokens, read_ms_per_token);
    double ratio = (pause_ms < unread_ms ? pause_ms : unread_ms) / gap_ms;
    double harm = (ratio - _CW_PAUSE_LATE_FROM) / (2 * (1 - _CW_PAUSE_LATE_FROM));
    return harm < 0 ? 0 : harm > 1 ? 1 : harm;
}

#endif /* CHALKWAY_PAUSE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
