#ifndef CHALKWAY_SUMMARY_H
#define CHALKWAY_SUMMARY_H
/*
    chalkway_summary.h -- summary of a set of records, to find where two differ

    WHAT IT IS
        Two hosts that hold nearly the same records compare a short sum for
        each of some hundred buckets, and exchange only the records of the
        buckets whose sums differ. What they exchange follows from how much
        differs, not from how many records there are.

    HOW TO USE IT
            cw_summary_t mine = {.buckets = cw_summary_buckets(count)};
            for each record: cw_summary_add(&mine, id, version);
            // theirs came over the wire; mine is built with as many buckets
            if (cw_summary_differs(&mine, &theirs, id)) { send the record }

    WHAT IT DOES NOT DO
        It holds no records. Sums are short: two different buckets look alike
        once in 65,536 times, until one of their records changes again.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_SUMMARY_BUCKETS 512 /* at most; 1 KB, so that a summary fits one datagram */

typedef struct cw_summary_t {
    uint32_t buckets; /* a power of two, 0: no summary */
    uint16_t sums[CW_SUMMARY_BUCKETS];
} cw_summary_t;

/* Buckets for so many records: two records in one. */
uint32_t cw_summary_buckets(uint32_t records);
/* Adds a record, or takes it out again. version: anything that changes with it. */
void cw_summary_add(cw_summary_t* summary, uint64_t id, uint64_t version);
/* Whether the records of the id's bucket differ. Both have as many buckets. */
bool cw_summary_differs(const cw_summary_t* a, const cw_summary_t* b, uint64_t id);

#endif /* CHALKWAY_SUMMARY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SUMMARY_IMPL_INCLUDED
#define CHALKWAY_SUMMARY_IMPL_INCLUDED

#include <assert.h>

uint32_t cw_summary_buckets(uint32_t records) {
    uint32_t buckets = 1;
    while (buckets * 2 < records && buckets < CW_SUMMARY_BUCKETS) {
        buckets *= 2;
    }
    return buckets;
}

static uint32_t _cw_summary_bucket(const cw_summary_t* summary, uint64_t id) {
    assert(summary->buckets && summary->buckets <= CW_SUMMARY_BUCKETS);
    return (uint32_t)(cw_mix(id, 0) & (summary->buckets - 1));
}

void cw_summary_add(cw_summary_t* summary, uint64_t id, uint64_t version) {
    summary->sums[_cw_summary_bucket(summary, id)] ^= (uint16_t)cw_mix(id, version);
}

bool cw_summary_differs(const cw_summary_t* a, const cw_summary_t* b, uint64_t id) {
    assert(a->buckets == b->buckets);
    uint32_t bucket = _cw_summary_bucket(a, id);
    return a->sums[bucket] != b->sums[bucket];
}

#endif /* CHALKWAY_SUMMARY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
