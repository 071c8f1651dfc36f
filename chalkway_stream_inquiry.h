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

        An engine that has the prompt and as many events as the caller has
        received has run the stream. One that has the prompt alone may have:
        engines drop what a run has made when its connection breaks. It may
        also have been left before the first event. So the prompt alone counts
        only if all have replied, one version was named, and no engine has
        more.

    HOW TO USE IT
            cw_stream_inquiry_t q = {0};
            cw_stream_inquiry_begin(&q, now_ms);
            if (cw_stream_inquiry_is_due(&q, now_ms)) { cw_stream_inquiry_on_round(&q, now_ms, send_to_all()); }
            cw_stream_inquiry_on_reply(&q, version, CW_STREAM_REPLY_ALL, false); // for each reply
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
    uint64_t version;        /* of engines that have made events of the stream, 0: none yet */
    uint64_t prompt_version; /* of engines that have the prompt */
    bool is_several, is_prompt_several;
    uint32_t queried;  /* hosts, in this round */
    uint32_t complete; /* of their replies, those that cover all engines */
    int64_t begun_ms, next_round_ms;
} cw_stream_inquiry_t;

void cw_stream_inquiry_begin(cw_stream_inquiry_t* q, int64_t now_ms);
bool cw_stream_inquiry_is_due(const cw_stream_inquiry_t* q, int64_t now_ms);
/* A round was sent to so many hosts. */
void cw_stream_inquiry_on_round(cw_stream_inquiry_t* q, int64_t now_ms, uint32_t hosts);
/* version: that the sender's engines show, 0: none; is_prompt_only: they have the prompt, and maybe nothing else. */
void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, uint64_t version, cw_stream_reply_t reply, bool is_prompt_only);
/* The same of the engines that this host queries itself. */
void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, uint64_t version, bool is_several, bool is_prompt_only);
bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms);
/* The version that the replies show; 0: none, or several. */
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

void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, uint64_t version, bool is_several, bool is_prompt_only) {
    uint64_t* named = is_prompt_only ? &q->prompt_version : &q->version;
    bool* is_ambiguous = is_prompt_only ? &q->is_prompt_several : &q->is_several;
    *is_ambiguous = *is_ambiguous || is_several || (version && *named && *named != version);
    *named = version ? version : *named;
}

void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, uint64_t version, cw_stream_reply_t reply,
                                bool is_prompt_only) {
    cw_stream_inquiry_on_own(q, version, reply == CW_STREAM_REPLY_SEVERAL, is_prompt_only);
    q->complete += reply != CW_STREAM_REPLY_PARTIAL;
}

static bool _cw_stream_inquiry_is_complete(const cw_stream_inquiry_t* q) {
    return q->next_round_ms > q->begun_ms && q->complete >= q->queried;
}

bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms) {
    return q->is_several || _cw_stream_inquiry_is_complete(q) || now_ms - q->begun_ms >= CW_STREAM_INQUIRY_MS;
}

uint64_t cw_stream_inquiry_version(const cw_stream_inquiry_t* q) {
    if (q->version || q->is_several) {
        return q->is_several ? 0 : q->version;
    }
    return q->is_prompt_several || !_cw_stream_inquiry_is_complete(q) ? 0 : q->prompt_version;
}

#endif /* CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
