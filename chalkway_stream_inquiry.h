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

        The run that began the stream, if no other version has its events, or
        what such a run has left when it was broken off, as many events after
        the prompt as the caller has, prove the version. The prompt alone
        doesn't: an engine that has it has
        run the stream, or another request with the same prompt, or was left
        before the first event. It decides only if all hosts have replied for
        all of their engines and no engine of another version has it, or
        failed to reply. Engines that have left the list may have it, too: so
        either none of another version has, or those that have the prompt have
        at least the caller's events, as a run that went on after all hosts
        were lost leaves.

    HOW TO USE IT
            cw_stream_inquiry_t q = {0};
            cw_stream_inquiry_begin(&q, now_ms);
            if (cw_stream_inquiry_is_due(&q, now_ms)) {
                cw_stream_audience_t audience = {.view = view};
                send_to_all(cw_stream_inquiry_next_round(&q)); // cw_stream_audience_add for each reply that is due
                cw_stream_inquiry_on_round(&q, now_ms, &audience);
            }
            cw_stream_inquiry_on_reply(&q, CW_STREAM_PROMPT, &(cw_stream_reply_t){...}); // for each reply
            q.own_view = view;
            if (cw_stream_inquiry_is_decided(&q, now_ms)) { uint64_t version = cw_stream_inquiry_version(&q); }

    WHAT IT DOES NOT DO
        It has no sockets. Hosts reply with the round's number and with a
        fingerprint of their view of the fleet: of the hosts and the engines,
        which decide who queries which engine. Replies of hosts with different
        views may leave out an engine together, so they don't count.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_STREAM_INQUIRY_MS 1500      /* a host is queried, and its engines are, within this time of its start */
#define CW_STREAM_INQUIRY_ROUND_MS 100 /* least time between two rounds */
#define CW_STREAM_INQUIRY_HOST_MS 1    /* for each host that is queried, so that a large fleet isn't flooded */
#define CW_STREAM_INQUIRY_ROUNDS_MAX 63

#define CW_STREAM_EVENTS_LAG 4 /* events that a run has made at most when it ends, beyond those that the caller has */

typedef enum cw_stream_question_t {
    CW_STREAM_PROMPT = 0, /* who has the last part of its prompt */
    CW_STREAM_RUN,        /* who runs the request that began it */
    CW_STREAM_EVENTS,     /* who has, after the prompt, the events that the caller has, and at most
                             CW_STREAM_EVENTS_LAG more: a whole response to another request has all */
    CW_STREAM_AT_LEAST,   /* who has, after the prompt, at least these events */
    CW_STREAM_QUESTION_COUNT
} cw_stream_question_t;

/* What a reply covers. */
typedef enum cw_stream_coverage_t {
    CW_STREAM_COVERS_ALL = 0, /* all engines that its sender queries */
    CW_STREAM_COVERS_SOME,    /* some engines have not replied yet */
    CW_STREAM_COVERS_ALL_BUT, /* all but engines of the reply's version, none of the others has the stream */
    CW_STREAM_HAS_SEVERAL,    /* engines of several versions have it */
    CW_STREAM_COVERS_LISTED,  /* all that can be queried; some of other versions than the reply's can't */
    CW_STREAM_COVERS_STAYED,  /* all, but some of other versions than the reply's have left the list */
    CW_STREAM_COVERS_LEFT,    /* all, none has the stream, but some of the reply's version have left the list */
    CW_STREAM_COVERAGE_COUNT
} cw_stream_coverage_t;

typedef struct cw_stream_reply_t {
    uint64_t host;
    uint64_t view; /* of the fleet */
    uint32_t round;
    uint64_t version; /* of the engines that have the stream, 0: none has it; see CW_STREAM_COVERS_ALL_BUT */
    cw_stream_coverage_t coverage;
} cw_stream_reply_t;

/* Those that are to reply to a round. A set of replies is known by a fingerprint: the exclusive or of hashes of host
   and question. A reply that arrives twice takes itself out again, so a silent host is never taken for one that
   replied. */
typedef struct cw_stream_audience_t {
    uint32_t hosts;
    uint32_t replies;     /* that are due */
    uint64_t replies_set; /* their fingerprint */
    uint64_t view;        /* of the fleet, by the host that inquires */
} cw_stream_audience_t;

/* Versions of engines. */
typedef struct cw_stream_versions_t {
    uint64_t version; /* 0: none */
    bool is_several;
} cw_stream_versions_t;

/* What a host knows of the engines that it queries, and of those that it can't query. */
typedef struct cw_stream_findings_t {
    cw_stream_versions_t found;     /* of the engines that have the stream */
    cw_stream_versions_t unqueried; /* of listed engines that failed to reply */
    cw_stream_versions_t left;      /* of engines that have left the list since streams that are alive began */
    bool is_open;                   /* some engines have not replied yet, or what they listed was dropped */
} cw_stream_findings_t;

typedef struct cw_stream_inquiry_t {
    cw_stream_versions_t found[CW_STREAM_QUESTION_COUNT];
    cw_stream_versions_t unqueried; /* of engines that can't be queried */
    uint32_t round;                 /* number of the current round, from 1 on */
    bool is_own_open;               /* this host has not queried all of its engines yet */
    cw_stream_versions_t left;      /* of engines that have left the list */
    bool may_have_left;             /* engines may have left the list that this host doesn't know of */
    cw_stream_audience_t audience;  /* of this round */
    uint32_t complete;              /* replies to this round that cover all engines that can be queried */
    uint64_t complete_set;          /* their fingerprint */
    bool has_all;                   /* all replies that are due in this round have arrived, complete */
    uint32_t other_views;           /* replies to all rounds by hosts with another view of the fleet */
    uint64_t own_view;              /* this host's view now */
    int64_t begun_ms, next_round_ms;
} cw_stream_inquiry_t;

/* The reply with these findings, without its round. */
cw_stream_reply_t cw_stream_reply_make(const cw_stream_findings_t* findings);
void cw_stream_inquiry_begin(cw_stream_inquiry_t* q, int64_t now_ms);
bool cw_stream_inquiry_is_due(const cw_stream_inquiry_t* q, int64_t now_ms);
/* Begins a round, and returns its number. */
uint32_t cw_stream_inquiry_next_round(cw_stream_inquiry_t* q);
/* The host is to reply to this question. */
void cw_stream_audience_add(cw_stream_audience_t* audience, uint64_t host, cw_stream_question_t question);
/* The round was sent to this audience. */
void cw_stream_inquiry_on_round(cw_stream_inquiry_t* q, int64_t now_ms, const cw_stream_audience_t* audience);
void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, cw_stream_question_t question, const cw_stream_reply_t* reply);
/* What this host's own engines show: as a reply, but it isn't counted. */
void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, cw_stream_question_t question, const cw_stream_reply_t* own);
bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms);
/* The version that the replies show; 0: none, or several, or some are missing. */
uint64_t cw_stream_inquiry_version(const cw_stream_inquiry_t* q);

#endif /* CHALKWAY_STREAM_INQUIRY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED
#define CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED

static bool _cw_stream_versions_have_other(const cw_stream_versions_t* v, uint64_t version) {
    return v->is_several || (v->version && v->version != version);
}

cw_stream_reply_t cw_stream_reply_make(const cw_stream_findings_t* findings) {
    const cw_stream_versions_t* found = &findings->found;
    const cw_stream_versions_t* unqueried = &findings->unqueried;
    const cw_stream_versions_t* left = &findings->left;
    cw_stream_reply_t reply = {.version = found->is_several ? 0 : found->version};
    /* A reply names one version: a failed engine of one and another that has left rule out both. */
    bool names_two = !found->version && unqueried->version && _cw_stream_versions_have_other(left, unqueried->version);
    bool cannot_query_others = unqueried->is_several || names_two ||
                               (found->version && _cw_stream_versions_have_other(unqueried, found->version));
    if (found->is_several) {
        reply.coverage = CW_STREAM_HAS_SEVERAL;
    } else if (findings->is_open) {
        reply.coverage = CW_STREAM_COVERS_SOME;
    } else if (cannot_query_others) {
        reply.coverage = CW_STREAM_COVERS_LISTED;
    } else if (unqueried->version && !found->version) {
        reply = (cw_stream_reply_t){.version = unqueried->version, .coverage = CW_STREAM_COVERS_ALL_BUT};
    } else if (left->is_several || (found->version && _cw_stream_versions_have_other(left, found->version))) {
        reply.coverage = CW_STREAM_COVERS_STAYED;
    } else if (left->version && !found->version) {
        reply = (cw_stream_reply_t){.version = left->version, .coverage = CW_STREAM_COVERS_LEFT};
    }
    return reply;
}

void cw_stream_inquiry_begin(cw_stream_inquiry_t* q, int64_t now_ms) {
    *q = (cw_stream_inquiry_t){.begun_ms = now_ms, .next_round_ms = now_ms};
}

bool cw_stream_inquiry_is_due(const cw_stream_inquiry_t* q, int64_t now_ms) {
    return now_ms >= q->next_round_ms && q->round < CW_STREAM_INQUIRY_ROUNDS_MAX;
}

uint32_t cw_stream_inquiry_next_round(cw_stream_inquiry_t* q) {
    q->complete = 0;
    q->complete_set = 0;
    q->has_all = false;
    return ++q->round;
}

static uint64_t _cw_stream_reply_hash(uint64_t host, cw_stream_question_t question) {
    return cw_mix(host, (uint64_t)question + 1);
}

void cw_stream_audience_add(cw_stream_audience_t* audience, uint64_t host, cw_stream_question_t question) {
    audience->replies++;
    audience->replies_set ^= _cw_stream_reply_hash(host, question);
}

void cw_stream_inquiry_on_round(cw_stream_inquiry_t* q, int64_t now_ms, const cw_stream_audience_t* audience) {
    uint32_t spread_ms = audience->hosts * CW_STREAM_INQUIRY_HOST_MS;
    q->audience = *audience;
    q->own_view = audience->view;
    q->has_all = !audience->replies;
    q->next_round_ms = now_ms + (spread_ms > CW_STREAM_INQUIRY_ROUND_MS ? spread_ms : CW_STREAM_INQUIRY_ROUND_MS);
}

static void _cw_stream_versions_add(cw_stream_versions_t* known, uint64_t version) {
    known->is_several = known->is_several || (version && known->version && known->version != version);
    known->version = version ? version : known->version;
}

void cw_stream_inquiry_on_own(cw_stream_inquiry_t* q, cw_stream_question_t question, const cw_stream_reply_t* own) {
    cw_stream_versions_t* found = &q->found[question];
    cw_stream_versions_t* named = own->coverage == CW_STREAM_COVERS_ALL_BUT ? &q->unqueried
                                  : own->coverage == CW_STREAM_COVERS_LEFT  ? &q->left
                                                                            : found;
    found->is_several = found->is_several || own->coverage == CW_STREAM_HAS_SEVERAL;
    q->unqueried.is_several = q->unqueried.is_several || own->coverage == CW_STREAM_COVERS_LISTED;
    q->left.is_several = q->left.is_several || own->coverage == CW_STREAM_COVERS_STAYED;
    _cw_stream_versions_add(named, own->version);
}

void cw_stream_inquiry_on_reply(cw_stream_inquiry_t* q, cw_stream_question_t question, const cw_stream_reply_t* reply) {
    cw_stream_inquiry_on_own(q, question, reply);
    if (reply->round != q->round || reply->coverage == CW_STREAM_COVERS_SOME) {
        return;
    }
    if (reply->view != q->audience.view) {
        q->other_views++;
        return;
    }
    q->complete++;
    q->complete_set ^= _cw_stream_reply_hash(reply->host, question);
    q->has_all = q->has_all || q->complete_set == q->audience.replies_set;
}

static bool _cw_stream_inquiry_is_complete(const cw_stream_inquiry_t* q) {
    return q->round && !q->is_own_open && q->has_all && q->own_view == q->audience.view;
}

bool cw_stream_inquiry_is_decided(const cw_stream_inquiry_t* q, int64_t now_ms) {
    return _cw_stream_inquiry_is_complete(q) || now_ms - q->begun_ms >= CW_STREAM_INQUIRY_MS;
}

uint64_t cw_stream_inquiry_version(const cw_stream_inquiry_t* q) {
    const cw_stream_versions_t* prompt = &q->found[CW_STREAM_PROMPT];
    if (!_cw_stream_inquiry_is_complete(q)) {
        return 0;
    }
    const cw_stream_versions_t* run = &q->found[CW_STREAM_RUN];
    const cw_stream_versions_t* events = &q->found[CW_STREAM_EVENTS];
    const cw_stream_versions_t* at_least = &q->found[CW_STREAM_AT_LEAST];
    if (run->version || run->is_several) { /* an attempt that was given up may run on */
        bool is_only = !run->is_several && !_cw_stream_versions_have_other(at_least, run->version);
        return is_only ? run->version : 0;
    }
    if (events->version || events->is_several) {
        return events->is_several ? 0 : events->version;
    }
    if (!prompt->version || prompt->is_several || _cw_stream_versions_have_other(&q->unqueried, prompt->version)) {
        return 0;
    }
    bool may_have_left = q->may_have_left || _cw_stream_versions_have_other(&q->left, prompt->version);
    return at_least->version || !may_have_left ? prompt->version : 0;
}

#endif /* CHALKWAY_STREAM_INQUIRY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
