#ifndef CHALKWAY_QUARANTINE_H
#define CHALKWAY_QUARANTINE_H
/*
    chalkway_quarantine.h -- which requests end the servers that run them

    WHAT IT IS
        A query of death: a request that ends each server which begins to run
        it, and comes again under new ids and at any host. Hosts tell each
        other under which requests (chalkway_fingerprint.h) servers ended, as
        marks. The marks of a request are a set of ends, one for each life of a
        server, so that the order of the news, repeats of it and hosts that
        saw the same end don't matter.

        All that ran beside such a request when its server ended carries the
        same mark. What tells them apart:

        - a request that was answered whole, anywhere, is cleared;
        - an end counts half where something else may have caused it: another
          server ended at the same moment without this request, or another
          request that has two other ends was there as well;
        - a life that gives a sign after its end didn't end: that mark goes.

        The verdict follows from the ends that count: free with up to one;
        apart with two, when the server should follow from the request and not
        from the load, so that those under suspicion meet at few servers and
        copies of one request at the same one; on trial with three that don't
        weigh three, when each further sending is told in advance and counts
        half, until its server ends; held with a weight of three. Where that
        hangs on an end so fresh that the news of what else ended then is still
        under way, it is to wait. So three servers end under such a request,
        and six where others can't be told from it. An end is forgotten after
        keep_ms, so that a wrong verdict heals.

    HOW TO USE IT
            cw_quarantine_t* q = cw_quarantine_setup(&(cw_quarantine_desc_t){0});
            cw_verdict_t v = cw_quarantine_ask(q, now_ms, &fingerprint);
            if (v.kind == CW_VERDICT_HELD) { refuse it, to come back in v.retry_ms }
            if (cw_quarantine_take(q, now_ms, &mark)) { it was news: tell the others }

    WHAT IT DOES NOT DO
        It sees no connection and sends nothing. Whether a connection that
        broke means that a server ended is for the owner to say.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_fingerprint.h"

#define CW_QUARANTINE_ENDS 6 /* kept of one request: with six it is held in any case */

typedef enum cw_mark_kind_t {
    CW_MARK_ENDED = 0, /* the life of a server ended while the request was there */
    CW_MARK_TRIED,     /* the request is sent there on trial */
    CW_MARK_CLEARED,   /* the request was answered whole, or an operator released it */
    CW_MARK_ALIVE,     /* the life goes on: nothing ended it before */
    CW_MARK_KINDS
} cw_mark_kind_t;

/* What hosts tell each other. */
typedef struct cw_mark_t {
    cw_mark_kind_t kind;
    cw_fingerprint_t request; /* all zero with CW_MARK_ALIVE, and with an end of which only the moment matters */
    uint64_t life;            /* key of a server's life, 0 with CW_MARK_CLEARED */
    uint32_t age_ms;          /* since it happened */
} cw_mark_t;

typedef enum cw_verdict_kind_t {
    CW_VERDICT_FREE = 0,
    CW_VERDICT_APART, /* its server follows from its fingerprint */
    CW_VERDICT_TRIAL, /* the same, and it is told before it is sent */
    CW_VERDICT_WAIT,  /* it can't be said yet */
    CW_VERDICT_HELD   /* it is sent nowhere */
} cw_verdict_kind_t;

typedef struct cw_verdict_t {
    cw_verdict_kind_t kind;
    uint32_t ends;                      /* servers that ended under it and count */
    uint32_t ruled_out;                 /* of lives */
    uint64_t lives[CW_QUARANTINE_ENDS]; /* that ended under it, or have it on trial: not for it again */
    uint32_t retry_ms;                  /* held, or to wait: until it may be sent, or more is known */
} cw_verdict_t;

typedef struct cw_quarantine_desc_t {
    uint32_t entries; /* requests that are known at most, default 4096; a quarter of them of one workspace */
    uint32_t keep_ms; /* an end counts for so long, default 30 minutes */
    cw_allocator_t allocator;
} cw_quarantine_desc_t;

/* One request that has marks, for operators. */
typedef struct cw_quarantine_entry_t {
    cw_fingerprint_t request;
    cw_verdict_t verdict;
    uint32_t age_ms[CW_QUARANTINE_ENDS]; /* of the ends of the verdict's lives, or trials there */
    bool tried[CW_QUARANTINE_ENDS];
} cw_quarantine_entry_t;

typedef struct cw_quarantine_stats_t {
    uint32_t entries, held; /* held: as cw_quarantine_newly_held told */
    uint64_t pushed_out;    /* entries that others took the place of */
} cw_quarantine_stats_t;

typedef struct cw_quarantine_t cw_quarantine_t;

cw_quarantine_t* cw_quarantine_setup(const cw_quarantine_desc_t* desc);
void cw_quarantine_shutdown(cw_quarantine_t* q);
/* Takes a mark over, the own ones too. Returns whether it told anything new. */
bool cw_quarantine_take(cw_quarantine_t* q, int64_t now_ms, const cw_mark_t* mark);
/* What may be done with the request now. */
cw_verdict_t cw_quarantine_ask(cw_quarantine_t* q, int64_t now_ms, const cw_fingerprint_t* request);
/* Whether any mark of the request counts: an answer to it is news. */
bool cw_quarantine_knows(const cw_quarantine_t* q, const cw_fingerprint_t* request);
/* A request that is held since the last call, one at a time; false: no other. */
bool cw_quarantine_newly_held(cw_quarantine_t* q, int64_t now_ms, cw_quarantine_entry_t* out);
/* Marks of requests that are apart, on trial or held, from place *at on, which moves; returns how many, at most max.
 *at is 0 again behind the last one. */
uint32_t cw_quarantine_marks(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_mark_t* out, uint32_t max);
/* The same requests for operators, from place *at on; false: there is no other. */
bool cw_quarantine_next(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_entry_t* out);
cw_quarantine_stats_t cw_quarantine_stats(cw_quarantine_t* q, int64_t now_ms);

#endif /* CHALKWAY_QUARANTINE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_QUARANTINE_IMPL_INCLUDED
#define CHALKWAY_QUARANTINE_IMPL_INCLUDED

#include <string.h>

#include "chalkway_map.h"

#define _CW_QUARANTINE_ENTRIES 4096
/* A request that is no danger is wanted again within minutes, and a server's operator needs time to mend it: a body
   that comes all the time ends three servers in half an hour. */
#define _CW_QUARANTINE_KEEP_MS (30U * 60U * 1000U)
#define _CW_QUARANTINE_WORKSPACE_PART                                                                                  \
    4                         /* of the entries, those of one workspace: nobody pushes out what others know            \
                               */
#define _CW_QUARANTINE_FULL 2 /* weight of an end, in halves */
#define _CW_QUARANTINE_HELD 6 /* three full ends, in halves */
#define _CW_QUARANTINE_APART_ENDS 2
#define _CW_QUARANTINE_TRIAL_ENDS 3
/* Ends so near each other may have one cause, and the news of them is there after so long: hosts see one server's end
   within 3 ms of each other, and tell it within 2 ms in a small fleet and 50 through two relays. */
#define _CW_QUARANTINE_TOGETHER_MS 100
/* A life that ends twice so far apart ended twice: a server that starts again under its id is back after a second at
   the least, and the list may tell its new life later. Hosts see one end within less, but for links that lose much. */
#define _CW_QUARANTINE_AGAIN_MS 1000
#define _CW_QUARANTINE_CLEARED_MS 10000 /* that a request was cleared is remembered so long: news may be late */
#define _CW_QUARANTINE_LIVES 256        /* ends of servers, and signs of life, that are remembered */

typedef struct _cw_end_t {
    uint64_t life;
    int64_t at_ms;
    bool tried;
} _cw_end_t;

typedef struct _cw_quarantined_t {
    cw_fingerprint_t request;
    bool used;
    int64_t cleared_ms; /* ends up to then don't count */
    int64_t news_ms;    /* when it was last told of */
    uint32_t count;
    _cw_end_t ends[CW_QUARANTINE_ENDS];
    uint64_t judged; /* the state of all marks that weight belongs to */
    uint32_t weight;
    bool announced; /* as held */
} _cw_quarantined_t;

typedef struct _cw_life_t {
    uint64_t life;
    int64_t at_ms;
} _cw_life_t;

/* The lives that something was told of last, the oldest one replaced first. */
typedef struct _cw_lives_t {
    _cw_life_t items[_CW_QUARANTINE_LIVES];
    uint32_t next;
} _cw_lives_t;

struct cw_quarantine_t {
    cw_quarantine_desc_t desc;
    cw_map_t by_request;
    _cw_quarantined_t* entries;
    uint32_t places;       /* up to the last one that was ever used */
    uint64_t state;        /* moves with each mark */
    int64_t look_until_ms; /* some entry may come to be held until then */
    _cw_lives_t ended, alive;
    uint64_t pushed_out;
};

static cw_quarantine_desc_t _cw_quarantine_desc_defaults(const cw_quarantine_desc_t* desc) {
    cw_quarantine_desc_t d = *desc;
    d.entries = d.entries ? d.entries : _CW_QUARANTINE_ENTRIES;
    d.keep_ms = d.keep_ms ? d.keep_ms : _CW_QUARANTINE_KEEP_MS;
    return d;
}

cw_quarantine_t* cw_quarantine_setup(const cw_quarantine_desc_t* desc) {
    cw_quarantine_t* q = cw_alloc(&desc->allocator, 1, sizeof(*q));
    q->desc = _cw_quarantine_desc_defaults(desc);
    q->entries = cw_alloc(&q->desc.allocator, q->desc.entries, sizeof(*q->entries));
    q->by_request = cw_map_setup(q->desc.entries, &q->desc.allocator);
    q->state = 1;
    return q;
}

void cw_quarantine_shutdown(cw_quarantine_t* q) {
    cw_allocator_t allocator = q->desc.allocator;
    cw_map_shutdown(&q->by_request);
    cw_free(&allocator, q->entries);
    cw_free(&allocator, q);
}

/* -- lives ---------------------------------------------------------------- */

static _cw_life_t* _cw_lives_find(_cw_lives_t* lives, uint64_t life) {
    for (uint32_t i = 0; i < _CW_QUARANTINE_LIVES; i++) {
        if (lives->items[i].life == life) {
            return &lives->items[i];
        }
    }
    return NULL;
}

static void _cw_lives_put(_cw_lives_t* lives, uint64_t life, int64_t at_ms) {
    _cw_life_t* place = _cw_lives_find(lives, life);
    place = place ? place : &lives->items[lives->next++ % _CW_QUARANTINE_LIVES];
    *place = (_cw_life_t){.life = life, .at_ms = at_ms};
}

/* The earliest that is told of one end of the life. */
static bool _cw_quarantine_note_end(cw_quarantine_t* q, uint64_t life, int64_t at_ms) {
    const _cw_life_t* known = _cw_lives_find(&q->ended, life);
    bool other_end = !known || at_ms >= known->at_ms + _CW_QUARANTINE_AGAIN_MS;
    if (other_end || at_ms < known->at_ms) {
        _cw_lives_put(&q->ended, life, at_ms);
    }
    return other_end;
}

/* The latest sign of the life; false: a later one is known. */
static bool _cw_quarantine_note_alive(cw_quarantine_t* q, uint64_t life, int64_t at_ms) {
    const _cw_life_t* known = _cw_lives_find(&q->alive, life);
    if (known && at_ms <= known->at_ms) {
        return false;
    }
    _cw_lives_put(&q->alive, life, at_ms);
    return true;
}

/* Whether the life gave a sign after the moment. */
static bool _cw_quarantine_lived_on(cw_quarantine_t* q, uint64_t life, int64_t at_ms) {
    const _cw_life_t* alive = _cw_lives_find(&q->alive, life);
    return alive && alive->at_ms > at_ms;
}

/* -- entries -------------------------------------------------------------- */

static uint64_t _cw_quarantine_key(const cw_fingerprint_t* request) {
    return cw_mix(request->workspace, request->content);
}

static _cw_quarantined_t* _cw_quarantine_find(const cw_quarantine_t* q, const cw_fingerprint_t* request) {
    uint32_t at = q->by_request.count ? cw_map_get(&q->by_request, _cw_quarantine_key(request)) : CW_MAP_NONE;
    return at == CW_MAP_NONE ? NULL : &q->entries[at];
}

static void _cw_quarantine_drop(cw_quarantine_t* q, _cw_quarantined_t* entry) {
    cw_map_remove(&q->by_request, _cw_quarantine_key(&entry->request));
    *entry = (_cw_quarantined_t){0};
}

/* Forgets ends that are too old, were disproved, or came before the request was cleared. */
static void _cw_quarantine_tidy(cw_quarantine_t* q, _cw_quarantined_t* entry, int64_t now_ms) {
    uint32_t kept = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_end_t* end = &entry->ends[i];
        bool old = end->at_ms <= entry->cleared_ms || now_ms - end->at_ms >= (int64_t)q->desc.keep_ms;
        if (!old && (end->tried || !_cw_quarantine_lived_on(q, end->life, end->at_ms))) {
            entry->ends[kept++] = *end;
        }
    }
    if (kept != entry->count) {
        entry->count = kept;
        entry->judged = 0;
        entry->announced = false;
    }
    if (!kept && now_ms - entry->news_ms >= _CW_QUARANTINE_CLEARED_MS) {
        _cw_quarantine_drop(q, entry);
    }
}

static bool _cw_quarantine_weaker(const _cw_quarantined_t* a, const _cw_quarantined_t* b) {
    return a->count != b->count ? a->count < b->count : a->news_ms < b->news_ms;
}

/* A place for a request of the workspace: a free one, or that of the request of which least is known, of the same
   workspace where that has its part of all. */
static _cw_quarantined_t* _cw_quarantine_place(cw_quarantine_t* q, uint64_t workspace) {
    _cw_quarantined_t* free_place = NULL;
    _cw_quarantined_t* weakest = NULL;
    _cw_quarantined_t* own_weakest = NULL;
    uint32_t own = 0;
    for (uint32_t i = 0; i < q->places; i++) {
        _cw_quarantined_t* entry = &q->entries[i];
        if (!entry->used) {
            free_place = entry;
            continue;
        }
        weakest = !weakest || _cw_quarantine_weaker(entry, weakest) ? entry : weakest;
        if (entry->request.workspace == workspace) {
            own_weakest = !own_weakest || _cw_quarantine_weaker(entry, own_weakest) ? entry : own_weakest;
            own++;
        }
    }
    bool own_part = own >= q->desc.entries / _CW_QUARANTINE_WORKSPACE_PART;
    if (!own_part && !free_place && q->places < q->desc.entries) {
        free_place = &q->entries[q->places++];
    }
    if (!own_part && free_place) {
        return free_place;
    }
    _cw_quarantined_t* given_up = own_part && own_weakest ? own_weakest : weakest;
    _cw_quarantine_drop(q, given_up);
    q->pushed_out++;
    return given_up;
}

static _cw_quarantined_t* _cw_quarantine_get(cw_quarantine_t* q, const cw_fingerprint_t* request) {
    _cw_quarantined_t* entry = _cw_quarantine_find(q, request);
    if (!entry) {
        entry = _cw_quarantine_place(q, request->workspace);
        *entry = (_cw_quarantined_t){.request = *request, .used = true, .cleared_ms = INT64_MIN / 2};
        cw_map_put(&q->by_request, _cw_quarantine_key(request), (uint32_t)(entry - q->entries));
    }
    return entry;
}

/* -- weight --------------------------------------------------------------- */

static bool _cw_quarantine_same_end(const _cw_end_t* end, uint64_t life, int64_t at_ms) {
    int64_t apart_ms = end->at_ms > at_ms ? end->at_ms - at_ms : at_ms - end->at_ms;
    return end->life == life && apart_ms < _CW_QUARANTINE_AGAIN_MS;
}

/* Whether the life ended then under the request. */
static bool _cw_quarantine_has_end(const _cw_quarantined_t* entry, uint64_t life, int64_t at_ms) {
    for (uint32_t i = 0; i < entry->count; i++) {
        if (!entry->ends[i].tried && _cw_quarantine_same_end(&entry->ends[i], life, at_ms)) {
            return true;
        }
    }
    return false;
}

/* The trial of the request at the life, NULL: none is known. */
static _cw_end_t* _cw_quarantine_trial(_cw_quarantined_t* entry, uint64_t life) {
    for (uint32_t i = 0; i < entry->count; i++) {
        if (entry->ends[i].tried && entry->ends[i].life == life) {
            return &entry->ends[i];
        }
    }
    return NULL;
}

/* Ends of the request but for this one, trials left out. */
static uint32_t _cw_quarantine_other_ends(const _cw_quarantined_t* entry, uint64_t life, int64_t at_ms) {
    uint32_t others = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        others += !entry->ends[i].tried && !_cw_quarantine_same_end(&entry->ends[i], life, at_ms);
    }
    return others;
}

/* Another server that ended at the same moment, without the request, which can't be the cause of both; NULL: none. */
static const _cw_life_t* _cw_quarantine_witness(const cw_quarantine_t* q, const _cw_quarantined_t* entry,
                                                const _cw_end_t* end) {
    for (uint32_t i = 0; i < _CW_QUARANTINE_LIVES; i++) {
        const _cw_life_t* other = &q->ended.items[i];
        int64_t apart_ms = other->at_ms > end->at_ms ? other->at_ms - end->at_ms : end->at_ms - other->at_ms;
        bool together = other->life && apart_ms <= _CW_QUARANTINE_TOGETHER_MS;
        if (together && !_cw_quarantine_has_end(entry, other->life, other->at_ms)) {
            return other;
        }
    }
    return NULL;
}

/* Another request was there that is as suspect: it may have been that one. */
static bool _cw_quarantine_in_company(const cw_quarantine_t* q, const _cw_quarantined_t* entry, const _cw_end_t* end) {
    for (uint32_t i = 0; i < q->places; i++) {
        const _cw_quarantined_t* other = &q->entries[i];
        if (other->used && other != entry && _cw_quarantine_has_end(other, end->life, end->at_ms) &&
            _cw_quarantine_other_ends(other, end->life, end->at_ms) >= _CW_QUARANTINE_APART_ENDS) {
            return true;
        }
    }
    return false;
}

static uint32_t _cw_quarantine_end_weight(const cw_quarantine_t* q, const _cw_quarantined_t* entry,
                                          const _cw_end_t* end) {
    bool half = end->tried || _cw_quarantine_witness(q, entry, end) || _cw_quarantine_in_company(q, entry, end);
    return half ? 1 : _CW_QUARANTINE_FULL;
}

static uint32_t _cw_quarantine_weight(const cw_quarantine_t* q, _cw_quarantined_t* entry) {
    if (entry->judged == q->state) {
        return entry->weight;
    }
    entry->weight = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        entry->weight += _cw_quarantine_end_weight(q, entry, &entry->ends[i]);
    }
    entry->judged = q->state;
    return entry->weight;
}

/* Until so much of the weight is forgotten that the request is held no more. */
static uint32_t _cw_quarantine_held_for_ms(const cw_quarantine_t* q, _cw_quarantined_t* entry, int64_t now_ms) {
    uint32_t weight = _cw_quarantine_weight(q, entry);
    int64_t until_ms = now_ms;
    int64_t from_ms = INT64_MIN;
    while (weight >= _CW_QUARANTINE_HELD) {
        const _cw_end_t* oldest = NULL;
        for (uint32_t i = 0; i < entry->count; i++) {
            const _cw_end_t* end = &entry->ends[i];
            bool later = end->at_ms > from_ms;
            oldest = later && (!oldest || end->at_ms < oldest->at_ms) ? end : oldest;
        }
        if (!oldest) {
            break;
        }
        from_ms = oldest->at_ms;
        until_ms = oldest->at_ms + q->desc.keep_ms;
        for (uint32_t i = 0; i < entry->count; i++) {
            const _cw_end_t* end = &entry->ends[i];
            weight -= end->at_ms == from_ms ? _cw_quarantine_end_weight(q, entry, end) : 0;
        }
    }
    return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 1;
}

/* Until all is known of the ends on which it hangs that the request is held; 0: it hangs on none that is fresh. */
static uint32_t _cw_quarantine_wait_ms(const cw_quarantine_t* q, const _cw_quarantined_t* entry, int64_t now_ms) {
    uint32_t sure = entry->weight;
    int64_t youngest_ms = 0;
    for (uint32_t i = 0; i < entry->count; i++) {
        const _cw_end_t* end = &entry->ends[i];
        if (now_ms - end->at_ms < _CW_QUARANTINE_TOGETHER_MS) {
            sure -= _cw_quarantine_end_weight(q, entry, end) - 1;
            youngest_ms = end->at_ms > youngest_ms ? end->at_ms : youngest_ms;
        }
    }
    return sure >= _CW_QUARANTINE_HELD ? 0 : (uint32_t)(youngest_ms + _CW_QUARANTINE_TOGETHER_MS - now_ms);
}

static cw_verdict_t _cw_quarantine_judge(const cw_quarantine_t* q, _cw_quarantined_t* entry, int64_t now_ms) {
    cw_verdict_t v = {.ruled_out = entry->count};
    for (uint32_t i = 0; i < entry->count; i++) {
        v.lives[i] = entry->ends[i].life;
        v.ends += !entry->ends[i].tried;
    }
    if (entry->count < _CW_QUARANTINE_TRIAL_ENDS) { /* they can't weigh enough: no need to look at all others */
        v.kind = entry->count < _CW_QUARANTINE_APART_ENDS ? CW_VERDICT_FREE : CW_VERDICT_APART;
        return v;
    }
    if (_cw_quarantine_weight(q, entry) < _CW_QUARANTINE_HELD) {
        v.kind = CW_VERDICT_TRIAL;
        return v;
    }
    v.retry_ms = _cw_quarantine_wait_ms(q, entry, now_ms);
    v.kind = v.retry_ms ? CW_VERDICT_WAIT : CW_VERDICT_HELD;
    v.retry_ms = v.retry_ms ? v.retry_ms : _cw_quarantine_held_for_ms(q, entry, now_ms);
    return v;
}

/* -- marks ---------------------------------------------------------------- */

/* Known also where no end is yet: the news of one that came before may be late. */
static bool _cw_quarantine_cleared(cw_quarantine_t* q, const cw_fingerprint_t* request, int64_t at_ms, int64_t now_ms) {
    _cw_quarantined_t* entry = _cw_quarantine_get(q, request);
    if (at_ms <= entry->cleared_ms) {
        return false;
    }
    entry->cleared_ms = at_ms;
    entry->news_ms = now_ms;
    uint32_t before = entry->count;
    _cw_quarantine_tidy(q, entry, now_ms);
    return entry->count != before;
}

static bool _cw_quarantine_add_end(cw_quarantine_t* q, const cw_mark_t* mark, int64_t at_ms, int64_t now_ms) {
    bool tried = mark->kind == CW_MARK_TRIED;
    if (now_ms - at_ms >= (int64_t)q->desc.keep_ms || (!tried && _cw_quarantine_lived_on(q, mark->life, at_ms))) {
        return false;
    }
    bool noted = !tried && _cw_quarantine_note_end(q, mark->life, at_ms);
    if (!mark->request.content) {
        return noted;
    }
    _cw_quarantined_t* entry = _cw_quarantine_get(q, &mark->request);
    _cw_quarantine_tidy(q, entry, now_ms);
    if (!entry->used) { /* tidied away: it had nothing that counts */
        entry = _cw_quarantine_get(q, &mark->request);
    }
    _cw_end_t* trial = _cw_quarantine_trial(entry, mark->life);
    if (at_ms <= entry->cleared_ms || _cw_quarantine_has_end(entry, mark->life, at_ms) || (tried && trial)) {
        return false;
    }
    if (!trial && entry->count == CW_QUARANTINE_ENDS) {
        return false;
    }
    trial = trial ? trial : &entry->ends[entry->count++]; /* the end of a server takes the place of its trial */
    *trial = (_cw_end_t){.life = mark->life, .at_ms = at_ms, .tried = tried};
    entry->news_ms = now_ms;
    return true;
}

bool cw_quarantine_take(cw_quarantine_t* q, int64_t now_ms, const cw_mark_t* mark) {
    int64_t at_ms = now_ms - mark->age_ms;
    bool news = false;
    switch (mark->kind) {
        case CW_MARK_ENDED:
        case CW_MARK_TRIED:
            news = mark->life && _cw_quarantine_add_end(q, mark, at_ms, now_ms);
            break;
        case CW_MARK_CLEARED:
            news = mark->request.content && _cw_quarantine_cleared(q, &mark->request, at_ms, now_ms);
            break;
        case CW_MARK_ALIVE:
            news = mark->life && _cw_quarantine_note_alive(q, mark->life, at_ms);
            break;
        case CW_MARK_KINDS:
            break;
    }
    if (news) {
        q->state++;
        q->look_until_ms = now_ms + 2LL * _CW_QUARANTINE_TOGETHER_MS;
    }
    return news;
}

cw_verdict_t cw_quarantine_ask(cw_quarantine_t* q, int64_t now_ms, const cw_fingerprint_t* request) {
    _cw_quarantined_t* entry = _cw_quarantine_find(q, request);
    if (entry) {
        _cw_quarantine_tidy(q, entry, now_ms);
    }
    return entry && entry->used ? _cw_quarantine_judge(q, entry, now_ms) : (cw_verdict_t){0};
}

bool cw_quarantine_knows(const cw_quarantine_t* q, const cw_fingerprint_t* request) {
    const _cw_quarantined_t* entry = _cw_quarantine_find(q, request);
    return entry && entry->count;
}

/* -- telling -------------------------------------------------------------- */

static uint32_t _cw_quarantine_age(int64_t at_ms, int64_t now_ms) {
    return now_ms > at_ms ? (uint32_t)(now_ms - at_ms) : 0;
}

static cw_quarantine_entry_t _cw_quarantine_describe(const _cw_quarantined_t* entry, const cw_verdict_t* verdict,
                                                     int64_t now_ms) {
    cw_quarantine_entry_t out = {.request = entry->request, .verdict = *verdict};
    for (uint32_t i = 0; i < entry->count; i++) {
        out.age_ms[i] = _cw_quarantine_age(entry->ends[i].at_ms, now_ms);
        out.tried[i] = entry->ends[i].tried;
    }
    return out;
}

/* The next entry from place *at on whose verdict is another than free. */
static _cw_quarantined_t* _cw_quarantine_next(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_verdict_t* verdict) {
    while (*at < q->places) {
        _cw_quarantined_t* entry = &q->entries[(*at)++];
        if (entry->used) {
            _cw_quarantine_tidy(q, entry, now_ms);
        }
        *verdict = entry->used ? _cw_quarantine_judge(q, entry, now_ms) : (cw_verdict_t){0};
        if (verdict->kind != CW_VERDICT_FREE) {
            return entry;
        }
    }
    return NULL;
}

uint32_t cw_quarantine_marks(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_mark_t* out, uint32_t max) {
    uint32_t count = 0;
    cw_verdict_t verdict;
    while (count + 2 * CW_QUARANTINE_ENDS <= max) { /* each end, and what speaks for its request */
        const _cw_quarantined_t* entry = _cw_quarantine_next(q, now_ms, at, &verdict);
        if (!entry) {
            *at = 0;
            break;
        }
        for (uint32_t i = 0; i < entry->count; i++) {
            out[count++] = (cw_mark_t){.kind = entry->ends[i].tried ? CW_MARK_TRIED : CW_MARK_ENDED,
                                       .request = entry->request,
                                       .life = entry->ends[i].life,
                                       .age_ms = _cw_quarantine_age(entry->ends[i].at_ms, now_ms)};
            const _cw_life_t* witness = _cw_quarantine_witness(q, entry, &entry->ends[i]);
            if (witness) {
                out[count++] = (cw_mark_t){
                    .kind = CW_MARK_ENDED, .life = witness->life, .age_ms = _cw_quarantine_age(witness->at_ms, now_ms)};
            }
        }
    }
    return count;
}

bool cw_quarantine_next(cw_quarantine_t* q, int64_t now_ms, uint32_t* at, cw_quarantine_entry_t* out) {
    cw_verdict_t verdict;
    const _cw_quarantined_t* entry = _cw_quarantine_next(q, now_ms, at, &verdict);
    if (!entry) {
        return false;
    }
    *out = _cw_quarantine_describe(entry, &verdict, now_ms);
    return true;
}

bool cw_quarantine_newly_held(cw_quarantine_t* q, int64_t now_ms, cw_quarantine_entry_t* out) {
    for (uint32_t i = 0; i < q->places && now_ms < q->look_until_ms; i++) {
        _cw_quarantined_t* entry = &q->entries[i];
        if (!entry->used || entry->announced || entry->count < _CW_QUARANTINE_TRIAL_ENDS) {
            continue;
        }
        cw_verdict_t verdict = _cw_quarantine_judge(q, entry, now_ms);
        if (verdict.kind == CW_VERDICT_HELD) {
            entry->announced = true;
            *out = _cw_quarantine_describe(entry, &verdict, now_ms);
            return true;
        }
    }
    return false;
}

cw_quarantine_stats_t cw_quarantine_stats(cw_quarantine_t* q, int64_t now_ms) {
    cw_quarantine_stats_t stats = {.pushed_out = q->pushed_out};
    for (uint32_t i = 0; i < q->places; i++) {
        _cw_quarantined_t* entry = &q->entries[i];
        if (entry->used) {
            _cw_quarantine_tidy(q, entry, now_ms);
        }
        stats.entries += entry->used && entry->count;
        stats.held += entry->used && entry->announced;
    }
    return stats;
}

#endif /* CHALKWAY_QUARANTINE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
