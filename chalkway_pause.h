#ifndef CHALKWAY_PAUSE_H
#define CHALKWAY_PAUSE_H
/*
    chalkway_pause.h -- how long streams pause beside prompts of each length

    WHAT IT IS
        While an engine reads a prompt, the answers that stream there pause
        longer between events, the more the longer the prompt is. This keeps a
        histogram of those pauses for each length of prompt, and tells from it
        how likely such a prompt makes a stream late that may pause for a
        given time. Old pauses count less and less. Also a learned quantile
        for other values.

    HOW TO USE IT
            cw_pauses_t p = {0};
            cw_pauses_learn(&p, tokens, pause_ms);
            double late = cw_pauses_late(&p, tokens, unread_ms, limit_ms);

    WHAT IT DOES NOT DO
        It knows neither servers nor streams; the caller brings the pauses of
        slow servers to a common measure.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_PAUSE_DEPTHS 20 /* kinds of prompts by length: powers of two, in halves */
#define CW_PAUSE_BINS 64   /* kinds of pauses by length */

/* A quantile of a changing value, learned sample by sample: it moves by the share up of the distance to a larger
   sample, and by the share down of that to a smaller one. */
double cw_quantile_learn(double learned, double sample, double up, double down);

/* Pauses beside prompts of one length. */
typedef struct cw_pause_depth_t {
    uint32_t samples;
    uint32_t bins[CW_PAUSE_BINS];
} cw_pause_depth_t;

/* All zero: nothing was seen. */
typedef struct cw_pauses_t {
    cw_pause_depth_t depths[CW_PAUSE_DEPTHS];
} cw_pauses_t;

/* A stream paused for so long while a prompt of so many tokens was read beside it. */
void cw_pauses_learn(cw_pauses_t* p, uint32_t tokens, double pause_ms);
/* How likely (0..1) a stream that may pause for limit_ms (0: any time) is late by one pause beside a prompt of so many
   tokens, while prompts there take unread_ms to read. A longer prompt is taken to be no less harmful than a shorter one
   that was seen; one of a length that few streams have met is taken to hold them up for as long as it is read. */
double cw_pauses_late(const cw_pauses_t* p, uint32_t tokens, double unread_ms, double limit_ms);
/* Pause that the given share (0..1) of the pauses beside prompts of so many tokens did not exceed, 0: few were seen. */
double cw_pauses_quantile(const cw_pauses_t* p, uint32_t tokens, double share);

#endif /* CHALKWAY_PAUSE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_PAUSE_IMPL_INCLUDED
#define CHALKWAY_PAUSE_IMPL_INCLUDED

#include <math.h>

#define _CW_PAUSE_DEPTH_MIN 256.0 /* tokens of the shortest kind */
#define _CW_PAUSE_MIN_MS 5.0      /* longest pause of the first bin */
#define _CW_PAUSE_BIN_STEP 1.08   /* from bin to bin: the last one holds all pauses over 640 ms */
#define _CW_PAUSE_WINDOW 400      /* samples after which all counts of a depth are halved */
#define _CW_PAUSE_FEW 10          /* fewer pauses beside prompts of a length say nothing */
#define _CW_PAUSE_UNREAD_FROM                                                                                          \
    0.8 /* share of the limit from which reading may last long enough to make a stream late,                           \
           rising to 1.2: how long it lasts is a prediction */

double cw_quantile_learn(double learned, double sample, double up, double down) {
    return learned + (sample > learned ? up : down) * (sample - learned);
}

static uint32_t _cw_pauses_depth(uint32_t tokens) {
    double halves = tokens > _CW_PAUSE_DEPTH_MIN ? 2 * log2(tokens / _CW_PAUSE_DEPTH_MIN) : 0;
    return halves < CW_PAUSE_DEPTHS - 1 ? (uint32_t)halves : CW_PAUSE_DEPTHS - 1;
}

static double _cw_pauses_place(double pause_ms) {
    double place = pause_ms > _CW_PAUSE_MIN_MS ? log(pause_ms / _CW_PAUSE_MIN_MS) / log(_CW_PAUSE_BIN_STEP) : 0;
    return place < CW_PAUSE_BINS - 1 ? place : CW_PAUSE_BINS - 1;
}

void cw_pauses_learn(cw_pauses_t* p, uint32_t tokens, double pause_ms) {
    cw_pause_depth_t* depth = &p->depths[_cw_pauses_depth(tokens)];
    depth->bins[(uint32_t)_cw_pauses_place(pause_ms)]++;
    depth->samples++;
    if (depth->samples < _CW_PAUSE_WINDOW) {
        return;
    }
    depth->samples = 0;
    for (uint32_t i = 0; i < CW_PAUSE_BINS; i++) {
        depth->bins[i] /= 2;
        depth->samples += depth->bins[i];
    }
}

/* Share of the pauses that were longer; within a bin they are taken as spread evenly. */
static double _cw_pauses_share_above(const cw_pause_depth_t* depth, double limit_ms) {
    double place = _cw_pauses_place(limit_ms);
    uint32_t at = (uint32_t)place;
    double above = depth->bins[at] * (1 - (place - at));
    for (uint32_t i = at + 1; i < CW_PAUSE_BINS; i++) {
        above += depth->bins[i];
    }
    return above / depth->samples;
}

double cw_pauses_late(const cw_pauses_t* p, uint32_t tokens, double unread_ms, double limit_ms) {
    if (limit_ms <= 0) {
        return 0;
    }
    double ratio = unread_ms / limit_ms;
    double long_enough = (ratio - _CW_PAUSE_UNREAD_FROM) / (2 * (1 - _CW_PAUSE_UNREAD_FROM));
    long_enough = long_enough < 0 ? 0 : long_enough > 1 ? 1 : long_enough;
    uint32_t last = _cw_pauses_depth(tokens);
    double late = 0;
    for (uint32_t i = 0; i <= last; i++) {
        const cw_pause_depth_t* depth = &p->depths[i];
        double share = depth->samples >= _CW_PAUSE_FEW ? _cw_pauses_share_above(depth, limit_ms) : 0;
        late = share > late ? share : late;
    }
    if (p->depths[last].samples < _CW_PAUSE_FEW) {
        late = 1;
    }
    return late * long_enough;
}

double cw_pauses_quantile(const cw_pauses_t* p, uint32_t tokens, double share) {
    const cw_pause_depth_t* depth = &p->depths[_cw_pauses_depth(tokens)];
    double below = 0;
    uint32_t at = 0;
    if (depth->samples < _CW_PAUSE_FEW) {
        return 0;
    }
    while (at < CW_PAUSE_BINS - 1 && below + depth->bins[at] < share * depth->samples) {
        below += depth->bins[at++];
    }
    return _CW_PAUSE_MIN_MS * pow(_CW_PAUSE_BIN_STEP, at + 1);
}

#endif /* CHALKWAY_PAUSE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
