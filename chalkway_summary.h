#ifndef CHALKWAY_SUMMARY_H
#define CHALKWAY_SUMMARY_H
/*
    chalkway_summary.h -- bucketed checksums of a record set, for anti-entropy

    WHAT IT IS
        Two hosts that hold nearly the same records compare a short checksum
        for each of up to 512 buckets, and exchange only the records of
        buckets whose checksums differ. The traffic depends on the number of
        differences, not on the number of records.

    HOW TO USE IT
            cw_summary_t mine = {.buckets = cw_summary_bucket_count(count)};
            for each record: cw_summary_add(&mine, id, version);
            // theirs was received; mine must have the same number of buckets
            if (cw_summary_differs(&mine, &theirs, id)) { send the record }

    WHAT IT DOES NOT DO
        It holds no records. A checksum has 16 bits: one in 65,536 differing
        buckets goes undetected until one of its records changes again.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_SUMMARY_MAX_BUCKETS 512 /* maximum: 1 KB of checksums, so that a summary fits into one datagram */

typedef struct cw_summary_t {
    uint32_t buckets; /* a power of two, 0: no summary */
    uint16_t sums[CW_SUMMARY_MAX_BUCKETS];
} cw_summary_t;

/* Number of buckets for a number of records: about two records per bucket. */
uint32_t cw_summary_bucket_count(uint32_t records);
/* Adds a record; adding the same record again removes it. version must change whenever the record changes. */
void cw_summary_add(cw_summary_t* summary, uint64_t id, uint64_t version);
/* Whether the checksums of the id's bucket differ. Both summaries must have the same number of buckets. */
bool cw_summary_differs(const cw_summary_t* a, const cw_summary_t* b, uint64_t id);

#endif /* CHALKWAY_SUMMARY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SUMMARY_IMPL_INCLUDED
#define CHALKWAY_SUMMARY_IMPL_INCLUDED

#include <assert.h>

uint32_t cw_summary_bucket_count(uint32_t records) {
    uint32_t buckets = 1;
    while (buckets * 2 < records && buckets < CW_SUMMARY_MAX_BUCKETS) {
        buckets *= 2;
    }
    return buckets;
}

static uint32_t _cw_summary_bucket(const cw_summary_t* summary, uint64_t id) {
    assert(summary->buckets && summary->buckets <= CW_SUMMARY_MAX_BUCKETS);
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
