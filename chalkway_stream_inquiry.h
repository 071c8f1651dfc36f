#ifndef CHALKWAY_STREAM_INQUIRY_H
#define CHALKWAY_STREAM_INQUIRY_H
/*
    chalkway_stream_inquiry.h -- replies of all hosts about the version of a stream

    WHAT IT IS
        After all hosts were lost nobody remembers which software version
        began a stream, but engines may still cache its prompt, or run it.
        Each host knows what some engines have listed
        (chalkway_part_versions.h). A host that is to resume the stream sends
        an inquiry to all others, in rounds, since datagrams may be lost and
        engines are queried during the first second.

        An engine that has the prompt has run the stream, or another request
        with the same prompt, or was left before the first event. So a version
        counts only if all hosts have replied for all of their engines and no
        engine of another version has it. An engine that could not be queried
        may have it: then only the version of that engine counts.

    HOW TO USE IT
            cw_stream_inquiry_t q = {0};
            cw_stream_inquiry_begin(&q, now_ms);
            if (cw_stream_inquiry_is_due(&q, now_ms)) {
                uint32_t round = cw_stream_inquiry_next_round(&q);
                cw_stream_inquiry_on_round(&q, now_ms, send_to_all(round), 1);
            }
            cw_stream_inquiry_on_reply(&q, &(cw_stream_reply_t){...}); // for each reply
            if (cw_stream_inquiry_is_decided(&q, now_ms)) { uint64_t version = cw_stream_inquiry_version(&q); }

    WHAT IT DOES NOT DO
        It has no sockets, and doesn't know the hosts: each replies once to a
        round, with the round's number.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_STREAM_INQUIRY_MS 1500      /* a host is queried, and its engines are, within this time of its start */
#define CW_STREAM_INQUIRY_ROUND_MS 100 /* least time between two rounds */
#define CW_STREAM_INQUIRY_HOST_MS 1    /* for each host that is queried, so that a large fleet isn't flooded */
#define CW_STREAM_INQUIRY_ROUNDS_MAX 255

/* What a reply covers. */
typedef enum cw_stream_coverage_t {
    CW_STREAM_COVERS_ALL = 0, /* all engines that its sender queries */
    CW_STREAM_COVERS_SOME,    /* some engines have not replied yet, or engines of several versions can't be queried */
    CW_STREAM_COVERS_ALL_BUT, /* all but engines of the reply's version, none of the others has the stream */
    CW_STREAM_HAS_SEVERAL,    /* engines of several versions have it */
    CW_STREAM_COVERAGE_COUNT
} cw_stream_coverage_t;

typedef struct cw_stream_reply_t {
    uint32_t round;
    uint64_t version; /* of the engines that have the stream, 0: none has it; see CW_STREAM_COVERS_ALL_BUT */
    cw_stream_coverage_t coverage;
} cw_stream_reply_t;

typedef struct cw_stream_inquiry_t {
    uint64_t version;  /* of engines that have the stream, 0: none yet */
    uint64_t unlisted; /* version of engines that can't be queried, 0: all can */
    bool is_several;   /* engines of several versions have it, or can't be queried */
    uint32_t round;    /* number of the current round, from 1 on */
    bool is_own_open;  /* this host has not queried all of its engines yet */
    uint32_t queried;  /* replies that are due in this round */
    uint32_t complete; /* replies to this round that cover all engines */
    int64_t begun_ms, next_round_ms;
} cw_stream_inquiry_t;

void cw_stream_inquiry_begin(cw_stream_inquiry_t* q, int64_t now_ms);
bool cw_stream_inquiry_is_due(const cw_stream_inquiry_t* q, int64_t now_ms);
/* Begins a round, and returns its number. */
uint32_t cw_stream_inquiry_next_round(cw_stream_inquiry_t* q);
/* The round was sent to so many hosts, each of which replies to so many items. */
void cw_stream_inquiry_on_round(cw_stream_inquiry_t* q, int64_t now_ms, uint32_t hosts, uint32_t items);
void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, const cw_stream_reply_t* reply);
/* What this host's own engines show: as a reply, but it isn't counted. */
void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, const cw_stream_reply_t* own);
bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms);
/* The version that the replies show; 0: none, or several, or some are missing. */
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
    return now_ms >= q->next_round_ms && q->round < CW_STREAM_INQUIRY_ROUNDS_MAX;
}

uint32_t cw_stream_inquiry_next_round(cw_stream_inquiry_t* q) {
    q->complete = 0;
    return ++q->round;
}

void cw_stream_inquiry_on_round(cw_stream_inquiry_t* q, int64_t now_ms, uint32_t hosts, uint32_t items) {
    uint32_t spread_ms = hosts * CW_STREAM_INQUIRY_HOST_MS;
    q->queried = hosts * items;
    q->next_round_ms = now_ms + (spread_ms > CW_STREAM_INQUIRY_ROUND_MS ? spread_ms : CW_STREAM_INQUIRY_ROUND_MS);
}

/* Notes a version; is_ambiguous is set if it is another one than before. */
static void _cw_stream_inquiry_note(uint64_t* known, uint64_t version, bool* is_ambiguous) {
    *is_ambiguous = *is_ambiguous || (version && *known && *known != version);
    *known = version ? version : *known;
}

void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, const cw_stream_reply_t* own) {
    bool is_unlisted = own->coverage == CW_STREAM_COVERS_ALL_BUT;
    q->is_several = q->is_several || own->coverage == CW_STREAM_HAS_SEVERAL;
    _cw_stream_inquiry_note(is_unlisted ? &q->unlisted : &q->version, own->version, &q->is_several);
}

void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, const cw_stream_reply_t* reply) {
    cw_stream_inquiry_on_own(q, reply);
    q->complete += reply->round == q->round && reply->coverage != CW_STREAM_COVERS_SOME;
}

static bool _cw_stream_inquiry_is_complete(const cw_stream_inquiry_t* q) {
    return q->round && !q->is_own_open && q->complete >= q->queried;
}

bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms) {
    return q->is_several || _cw_stream_inquiry_is_complete(q) || now_ms - q->begun_ms >= CW_STREAM_INQUIRY_MS;
}

uint64_t cw_stream_inquiry_version(const cw_stream_inquiry_t* q) {
    bool is_unlisted_other = q->unlisted && q->unlisted != q->version;
    return q->is_several || is_unlisted_other || !_cw_stream_inquiry_is_complete(q) ? 0 : q->version;
}

#endif /* CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
