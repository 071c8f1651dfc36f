#ifndef CHALKWAY_READER_H
#define CHALKWAY_READER_H
/*
    chalkway_reader.h -- when one daemon of a fleet reads a source that all share

    WHAT IT IS
        Daemons tell each other what they have read and how old it is, so one
        reading confirms what all know. Which one reads follows from its rank,
        its place among the living daemons in an order that all see alike:
        each further rank lets what is known grow a little older before it
        reads too. So mostly the first rank reads, and the next ones when it
        fails. In a large fleet the ranks beyond the first ones are spread over
        time: word that comes late makes some hosts read, not all. The same holds at the
        start, when nothing is known, and for the wait after a failed call:
        while the source is away, few ask whether it is back, and they tell
        the others.

    HOW TO USE IT
            cw_reader_t r = {.read_ms = 400, .rank = rank, .started_ms = now_ms, .seed = host};
            if (cw_reader_due(&r, true_ms, now_ms)) { read }
            failed: next_ms = now_ms + cw_reader_pause_ms(&r, failures, draw);

    WHAT IT DOES NOT DO
        It reads nothing and knows no membership.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_READER_NEVER INT64_MIN /* time at which something that was never known was true */

typedef struct cw_reader_t {
    uint32_t read_ms; /* age at which the daemon of the first rank reads again */
    uint32_t rank;    /* 0 first */
    uint32_t daemons; /* that live, this one among them; 0: as few as may read */
    uint32_t late_ms; /* age at which the daemon of the last rank reads, 0: the ranks beyond the first ones alike */
    int64_t started_ms;
    bool nobody_calls; /* the whole system starts for the first time: a daemon can wait for what others read */
    uint64_t seed;     /* of the host */
} cw_reader_t;

/* Whether to read now what was known to be true at the source at true_ms (CW_READER_NEVER: nothing is known). */
bool cw_reader_due(const cw_reader_t* r, int64_t true_ms, int64_t now_ms);
/* Time until the next try after so many failed ones in a row (1 or more). */
uint32_t cw_reader_pause_ms(const cw_reader_t* r, uint32_t failures, uint64_t draw);

#endif /* CHALKWAY_READER_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_READER_IMPL_INCLUDED
#define CHALKWAY_READER_IMPL_INCLUDED

#define _CW_READER_STEPS 5          /* ranks that take turns by whole steps */
#define _CW_READER_STEP_SHARE 0.3   /* of the reading age: so much longer waits each further rank */
#define _CW_READER_START_MS 100     /* so much longer each further rank waits at the start */
#define _CW_READER_START_RANK_MS 20 /* so much longer each rank beyond the first ones */
#define _CW_READER_START_SPREAD 200 /* ms; hosts that start together know no ranks yet */
#define _CW_READER_ALONE_MS 200     /* so much longer waits a host at the start that knows no other one yet */
#define _CW_READER_NOBODY_CALLS 10  /* times as long while nobody calls, so that the first that read can tell */
#define _CW_READER_PAUSE_MS 100     /* after a first failure, for the first rank */
#define _CW_READER_PAUSE_MAX_MS 1000
#define _CW_READER_RANKS_MAX 50 /* longer pauses of later ranks grow no further */

static uint32_t _cw_reader_steps(const cw_reader_t* r) {
    return r->rank < _CW_READER_STEPS ? r->rank : _CW_READER_STEPS;
}

static int64_t _cw_reader_start_ms(const cw_reader_t* r) {
    int64_t wait_ms = (int64_t)_cw_reader_steps(r) * _CW_READER_START_MS;
    wait_ms += (int64_t)(cw_mix(r->seed, 0) % _CW_READER_START_SPREAD);
    wait_ms += r->daemons == 1 ? _CW_READER_ALONE_MS : 0;
    if (r->nobody_calls) {
        return wait_ms * _CW_READER_NOBODY_CALLS;
    }
    int64_t beyond = (int64_t)r->rank - _cw_reader_steps(r);
    return wait_ms + beyond * _CW_READER_START_RANK_MS;
}

/* Age at which this rank reads. */
static int64_t _cw_reader_age_ms(const cw_reader_t* r) {
    double age_ms = r->read_ms * (1 + _cw_reader_steps(r) * _CW_READER_STEP_SHARE);
    if (r->rank > _CW_READER_STEPS && r->daemons > r->rank && r->late_ms > age_ms) {
        age_ms += (r->late_ms - age_ms) * (r->rank - _CW_READER_STEPS) / (r->daemons - _CW_READER_STEPS);
    }
    return (int64_t)age_ms;
}

bool cw_reader_due(const cw_reader_t* r, int64_t true_ms, int64_t now_ms) {
    if (true_ms == CW_READER_NEVER) {
        return now_ms - r->started_ms >= _cw_reader_start_ms(r);
    }
    return now_ms - true_ms >= _cw_reader_age_ms(r);
}

/* Pauses double up to a bound; later ranks begin and end with longer ones, so that a fleet asks no more often than a
   few daemons do. */
uint32_t cw_reader_pause_ms(const cw_reader_t* r, uint32_t failures, uint64_t draw) {
    uint32_t ranks = r->rank < _CW_READER_RANKS_MAX ? r->rank : _CW_READER_RANKS_MAX;
    uint32_t longest_ms = _CW_READER_PAUSE_MAX_MS + ranks * _CW_READER_PAUSE_MS;
    uint32_t pause_ms = _CW_READER_PAUSE_MS * (1 + ranks);
    for (uint32_t i = 1; i < failures && pause_ms < longest_ms; i++) {
        pause_ms *= 2;
    }
    pause_ms = pause_ms < longest_ms ? pause_ms : longest_ms;
    return pause_ms / 2 + (uint32_t)(draw % (pause_ms / 2));
}

#endif /* CHALKWAY_READER_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
