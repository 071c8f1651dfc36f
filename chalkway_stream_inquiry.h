#ifndef CHALKWAY_STREAM_INQUIRY_H
#define CHALKWAY_STREAM_INQUIRY_H
/*
    chalkway_stream_inquiry.h -- replies of all hosts about the version of a stream

    WHAT IT IS
        After all hosts were lost nobody remembers which software version
        began a stream, but engines may still cache its prompt. Each host
        knows what some engines have listed (chalkway_part_versions.h). A host
        that is to resume the stream sends an inquiry to all others, in rounds,
        since datagrams may be lost and engines are queried during the first
        second. The inquiry is decided when all have replied for all of their
        engines, when two versions were named, or after
        CW_STREAM_INQUIRY_MS.

    HOW TO USE IT
            cw_stream_inquiry_t q = {0};
            cw_stream_inquiry_begin(&q, now_ms);
            if (cw_stream_inquiry_is_due(&q, now_ms)) { cw_stream_inquiry_on_round(&q, now_ms, send_to_all()); }
            cw_stream_inquiry_on_reply(&q, version, CW_STREAM_REPLY_ALL); // for each reply
            if (cw_stream_inquiry_is_decided(&q, now_ms)) { uint64_t version = cw_stream_inquiry_version(&q); }

    WHAT IT DOES NOT DO
        It has no sockets. It counts replies, not hosts: one that arrives
        after the next round has begun counts for that round.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_STREAM_INQUIRY_MS 1500      /* a host is queried, and its engines are, within this time of its start */
#define CW_STREAM_INQUIRY_ROUND_MS 100 /* least time between two rounds */
#define CW_STREAM_INQUIRY_HOST_MS 1    /* for each host that is queried, so that a large fleet isn't flooded */

/* What a reply covers. */
typedef enum cw_stream_reply_t {
    CW_STREAM_REPLY_ALL = 0, /* all engines that its sender queries */
    CW_STREAM_REPLY_PARTIAL, /* some engines have not replied yet */
    CW_STREAM_REPLY_SEVERAL, /* engines of several versions have the prompt */
    CW_STREAM_REPLY_COUNT
} cw_stream_reply_t;

typedef struct cw_stream_inquiry_t {
    uint64_t version; /* that was named, 0: none yet */
    bool is_several;
    uint32_t queried;  /* hosts, in this round */
    uint32_t complete; /* of their replies, those that cover all engines */
    int64_t begun_ms, next_round_ms;
} cw_stream_inquiry_t;

void cw_stream_inquiry_begin(cw_stream_inquiry_t* q, int64_t now_ms);
bool cw_stream_inquiry_is_due(const cw_stream_inquiry_t* q, int64_t now_ms);
/* A round was sent to so many hosts. */
void cw_stream_inquiry_on_round(cw_stream_inquiry_t* q, int64_t now_ms, uint32_t hosts);
/* version: that the sender's engines show, 0: none. */
void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, uint64_t version, cw_stream_reply_t reply);
/* Engines that this host queries itself show this version, or several. */
void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, uint64_t version, bool is_several);
bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms);
/* The only version that was named; 0: none, or several. */
uint64_t cw_stream_inquiry_version(const cw_stream_inquiry_t* q);

#endif /* CHALKWAY_STREAM_INQUIRY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED
#define CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED

void cw_stream_inquiry_begin(cw_stream_inquiry_t* q, int64_t now_ms) {
    *q = (cw_stream_inquiry_t){.begun_ms = now_ms, .next_round_ms = now_ms};
}

bool cw_stream_inquiry_is_due(const cw_stream_inquiry_t* q, int64_t now_ms) {
    return now_ms >= q->next_round_ms;
}

void cw_stream_inquiry_on_round(cw_stream_inquiry_t* q, int64_t now_ms, uint32_t hosts) {
    uint32_t spread_ms = hosts * CW_STREAM_INQUIRY_HOST_MS;
    q->queried = hosts;
    q->complete = 0;
    q->next_round_ms = now_ms + (spread_ms > CW_STREAM_INQUIRY_ROUND_MS ? spread_ms : CW_STREAM_INQUIRY_ROUND_MS);
}

void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, uint64_t version, bool is_several) {
    q->is_several = q->is_several || is_several || (version && q->version && q->version != version);
    q->version = version ? version : q->version;
}

void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, uint64_t version, cw_stream_reply_t reply) {
    cw_stream_inquiry_on_own(q, version, reply == CW_STREAM_REPLY_SEVERAL);
    q->complete += reply == CW_STREAM_REPLY_ALL;
}

bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms) {
    bool has_begun = q->next_round_ms > q->begun_ms;
    return q->is_several || (has_begun && q->complete >= q->queried) || now_ms - q->begun_ms >= CW_STREAM_INQUIRY_MS;
}

uint64_t cw_stream_inquiry_version(const cw_stream_inquiry_t* q) {
    return q->is_several ? 0 : q->version;
}

#endif /* CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
