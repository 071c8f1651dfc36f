#ifndef CHALKWAY_RATE_H
#define CHALKWAY_RATE_H
/*
    chalkway_rate.h -- a rate that a server named for all hosts together

    WHAT IT IS
        What one host knows of the rate, and its part of it. A few hosts, the
        first ones for the server by rendezvous hashing over those that live,
        own equal parts of the rate; the others send nothing there. Parts sum
        to no more than the rate without a message between hosts. Owners
        begin with an empty bucket, so one that takes over from another adds
        nothing to what that one has just sent.

        Hosts that vanished without a sign of an end may be cut off and go
        on as owners by a list of their own: the parts shrink as if they
        were still there, so that both sides together keep the rate.

        The rate holds while answers name it. Answers overtake each other, so
        one counts as newer only if its request was sent after the other had
        come, or it came CW_RATE_DELAY_MS later. A rate that no answer has
        named or denied for long is forgotten; until then owners send a
        request now and then even under a rate of 0, and so hear of its end.

    HOW TO USE IT
            cw_rate_t rate = {0};                            // no rate was named
            cw_rate_named(&rate, sent_ms, now_ms, 2.5);      // an answer names it
            cw_rate_set_hosts(&rate, now_ms, &hosts);        // after any change of either
            if (!cw_rate_wait_ms(&rate, now_ms)) {
                cw_rate_take(&rate, now_ms);                 // and send
            }
            cw_rate_lifted(&rate, sent_ms, now_ms);          // an answer names none

    WHAT IT DOES NOT DO
        It sends nothing: what other hosts heard comes through cw_rate_heard.
        Hosts whose lists differ for a moment may both take themselves for
        owners; their sum is bounded by twice the rate.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_limit.h"
#include "chalkway_place.h"

#define CW_RATE_DELAY_MS 500    /* longest time that an answer's head is taken to be under way */
#define CW_RATE_FORGET_MS 30000 /* a rate that no answer has spoken of for so long is over */
#define CW_RATE_NEVER UINT32_MAX

typedef enum cw_rate_said_t {
    CW_RATE_UNKNOWN = 0, /* nothing was said */
    CW_RATE_NAMED,
    CW_RATE_LIFTED, /* answers name none any more */
    CW_RATE_SAID_COUNT
} cw_rate_said_t;

/* What answers said of a server's rate. */
typedef struct cw_rate_word_t {
    cw_rate_said_t said;
    double per_s; /* requests a second, of all hosts together */
    /* When it was true: the latest moment at which it can have been named, or the earliest after which none was. */
    int64_t at_ms;
} cw_rate_word_t;

/* The hosts that share a server's rate. */
typedef struct cw_rate_hosts_t {
    uint64_t server;
    uint64_t own;
    const uint64_t* ids; /* that live, own among them */
    uint32_t count;      /* 0: this host is alone */
    uint32_t missing;    /* further ones that may be cut off and go on */
} cw_rate_hosts_t;

/* All zero: no rate was named. */
typedef struct cw_rate_t {
    cw_rate_word_t word; /* in force, whoever heard it */
    cw_rate_word_t own;  /* what this host's own answers said last */
    int64_t named_ms, lifted_ms;
    uint32_t owners;
    bool mine; /* this host is one of them */
    cw_bucket_t part;
} cw_rate_t;

/* An answer that has just come names a rate, or none; its request was sent at sent_ms. True: what is in force changed.
 */
bool cw_rate_named(cw_rate_t* r, int64_t sent_ms, int64_t now_ms, double per_s);
bool cw_rate_lifted(cw_rate_t* r, int64_t sent_ms, int64_t now_ms);
/* What another host's answers said; reach_ms: longest time that its word was under way. */
bool cw_rate_heard(cw_rate_t* r, const cw_rate_word_t* word, uint32_t reach_ms);
/* Whether a rate is in force. */
bool cw_rate_holds(const cw_rate_t* r, int64_t now_ms);
/* What this host has to tell the others; nothing where their word is newer, or all is long ago. */
cw_rate_word_t cw_rate_tell(const cw_rate_t* r, int64_t now_ms);
/* Finds this host's part anew. */
void cw_rate_set_hosts(cw_rate_t* r, int64_t now_ms, const cw_rate_hosts_t* hosts);
/* Time until this host may send a request there: 0 now, CW_RATE_NEVER while the rate is others'. */
uint32_t cw_rate_wait_ms(const cw_rate_t* r, int64_t now_ms);
/* A request is sent there. */
void cw_rate_take(cw_rate_t* r, int64_t now_ms);

#endif /* CHALKWAY_RATE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_RATE_IMPL_INCLUDED
#define CHALKWAY_RATE_IMPL_INCLUDED

#include <math.h>

#define _CW_RATE_OWNER_PER_S 2.0 /* of the rate that one owner takes: its callers alone must be able to use it */
#define _CW_RATE_BURST 2.0
#define _CW_RATE_TOLD_MS 1000    /* another host's word that is newer by so much makes one's own needless */
#define _CW_RATE_LEAST_PER_S 0.1 /* by which owners hear of the end of a lower rate */

/* The earliest moment at which the head of an answer that comes now can have been written. */
static int64_t _cw_rate_from_ms(int64_t sent_ms, int64_t now_ms) {
    int64_t delayed_ms = now_ms - CW_RATE_DELAY_MS;
    return sent_ms > delayed_ms ? sent_ms : delayed_ms;
}

bool cw_rate_holds(const cw_rate_t* r, int64_t now_ms) {
    return r->word.said == CW_RATE_NAMED && now_ms - r->named_ms <= CW_RATE_FORGET_MS;
}

/* A rate named between from_ms and until_ms. Where that can't be told from one named before, the lower one holds. */
static bool _cw_rate_take_named(cw_rate_t* r, int64_t from_ms, int64_t until_ms, double per_s) {
    if (until_ms <= r->lifted_ms) {
        return false;
    }
    bool held = cw_rate_holds(r, until_ms);
    bool newer = !held || from_ms > r->named_ms;
    double value = newer || per_s < r->word.per_s ? per_s : r->word.per_s;
    bool changed = !held || value != r->word.per_s;
    r->named_ms = until_ms > r->named_ms ? until_ms : r->named_ms;
    r->word = (cw_rate_word_t){.said = CW_RATE_NAMED, .per_s = value, .at_ms = r->named_ms};
    return changed;
}

static bool _cw_rate_take_lifted(cw_rate_t* r, int64_t from_ms) {
    if (from_ms <= r->named_ms || from_ms <= r->lifted_ms) {
        return false;
    }
    bool changed = r->word.said == CW_RATE_NAMED;
    r->lifted_ms = from_ms;
    r->word = (cw_rate_word_t){.said = CW_RATE_LIFTED, .at_ms = from_ms};
    return changed;
}

bool cw_rate_named(cw_rate_t* r, int64_t sent_ms, int64_t now_ms, double per_s) {
    bool changed = _cw_rate_take_named(r, _cw_rate_from_ms(sent_ms, now_ms), now_ms, per_s);
    r->own = (cw_rate_word_t){.said = CW_RATE_NAMED, .per_s = r->word.per_s, .at_ms = now_ms};
    return changed;
}

bool cw_rate_lifted(cw_rate_t* r, int64_t sent_ms, int64_t now_ms) {
    int64_t from_ms = _cw_rate_from_ms(sent_ms, now_ms);
    if (!r->named_ms) {
        return false;
    }
    bool changed = _cw_rate_take_lifted(r, from_ms);
    if (r->word.said == CW_RATE_LIFTED) {
        r->own = r->word;
    }
    return changed;
}

bool cw_rate_heard(cw_rate_t* r, const cw_rate_word_t* word, uint32_t reach_ms) {
    if (word->said == CW_RATE_UNKNOWN) {
        return false;
    }
    return word->said == CW_RATE_NAMED
               ? _cw_rate_take_named(r, word->at_ms - CW_RATE_DELAY_MS, word->at_ms, word->per_s)
               : _cw_rate_take_lifted(r, word->at_ms - reach_ms);
}

cw_rate_word_t cw_rate_tell(const cw_rate_t* r, int64_t now_ms) {
    bool newest = r->own.at_ms + _CW_RATE_TOLD_MS >= r->word.at_ms;
    bool fresh = r->own.said != CW_RATE_UNKNOWN && newest && now_ms - r->own.at_ms <= CW_RATE_FORGET_MS;
    return fresh ? r->own : (cw_rate_word_t){0};
}

void cw_rate_set_hosts(cw_rate_t* r, int64_t now_ms, const cw_rate_hosts_t* hosts) {
    if (r->word.said != CW_RATE_NAMED) {
        return;
    }
    double per_s = r->word.per_s > _CW_RATE_LEAST_PER_S ? r->word.per_s : _CW_RATE_LEAST_PER_S;
    uint32_t count = hosts->count ? hosts->count : 1;
    double wanted = ceil(per_s / _CW_RATE_OWNER_PER_S);
    bool was_mine = r->mine;
    r->owners = wanted < count ? (uint32_t)wanted : count;
    r->mine = !hosts->count || cw_place_rank(hosts->server, hosts->own, hosts->ids, count) < r->owners;
    if (!was_mine) {
        r->part = (cw_bucket_t){.started = true, .at_ms = now_ms};
    }
    double share = (double)count / (count + hosts->missing);
    cw_bucket_set_rate(&r->part, now_ms, per_s * share / r->owners, _CW_RATE_BURST);
}

uint32_t cw_rate_wait_ms(const cw_rate_t* r, int64_t now_ms) {
    if (!cw_rate_holds(r, now_ms)) {
        return 0;
    }
    return r->mine ? cw_bucket_wait_ms(&r->part, now_ms, 1) : CW_RATE_NEVER;
}

void cw_rate_take(cw_rate_t* r, int64_t now_ms) {
    if (cw_rate_holds(r, now_ms) && r->mine) {
        cw_bucket_take(&r->part, now_ms, 1);
    }
}

#endif /* CHALKWAY_RATE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
