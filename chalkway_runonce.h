#ifndef CHALKWAY_RUNONCE_H
#define CHALKWAY_RUNONCE_H
/*
    chalkway_runonce.h -- at-most-once calls by idempotency keys

    WHAT IT IS
        A call that must not run twice runs at most once without any shared
        state, because its idempotency key determines the only process that
        may run it. A lookup response carries a ticket: host, incarnation
        (random at process start) and expiry on that process's own clock. The
        caller sends TICKET/SUFFIX as the call's key (header Idempotency-Key).
        Only that incarnation runs the call, and it remembers the key until
        the ticket's expiry plus the longest deadline. For any other process,
        a later incarnation or an expired ticket the outcome is "unknown": the
        caller has to ask the application whether the call ran.

    HOW TO USE IT
            cw_runonce_t* t = cw_runonce_setup(&(cw_runonce_desc_t){.host = "a", .incarnation = random});
            cw_ticket_t ticket = cw_runonce_ticket(t, now_ms);   // for the lookup response
            cw_runonce_begin_t b = cw_runonce_begin(t, now_ms, workspace, key, body_hash);
            switch (b.verdict) { case CW_RUN_NEW: ... }
            cw_runonce_complete(t, b.record, response, bytes);       // it ran: store the response
            cw_runonce_abort(t, b.record);                     // it provably did not run

    WHAT IT DOES NOT DO
        It stores responses as opaque pointers and does not send them. The
        owner wakes the retries that joined a running call.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_heap.h"
#include "chalkway_map.h"

#define CW_TICKET_MAX 128
#define CW_IDEMPOTENCY_KEY_MAX 192
#define CW_RUN_NONE UINT32_MAX

typedef struct cw_ticket_t {
    char text[CW_TICKET_MAX];
} cw_ticket_t;

typedef enum cw_run_verdict_t {
    CW_RUN_NEW = 0,       /* run it, then call cw_runonce_complete or cw_runonce_abort */
    CW_RUN_JOIN,          /* the same call is running: wait for its response */
    CW_RUN_REPLAY,        /* it has run: replay the stored response */
    CW_RUN_RESPONSE_LOST, /* it has run; the response is no longer stored */
    CW_RUN_UNKNOWN,       /* another process's ticket or an expired one: never run it here */
    CW_RUN_NO_TICKET,     /* the key contains no ticket: refuse, not run */
    CW_RUN_MISMATCH,      /* the key was used with another body: refuse, this call did not run */
    CW_RUN_FULL           /* the table is full: refuse, not run */
} cw_run_verdict_t;

typedef struct cw_runonce_begin_t {
    cw_run_verdict_t verdict;
    uint32_t record; /* CW_RUN_NONE unless the verdict is one of the first four */
    void* response;  /* stored response, set for CW_RUN_REPLAY */
} cw_runonce_begin_t;

typedef struct cw_runonce_desc_t {
    const char* host;                                       /* name, without '~' and '/' */
    uint64_t incarnation;                                   /* random at process start */
    uint32_t ticket_ms;                                     /* lifetime of a ticket, default 60000 */
    uint32_t max_deadline_ms;                               /* longest deadline of any class, default 120000 */
    uint32_t max_records;                                   /* default 4096 */
    size_t max_response_bytes;                              /* of all stored responses together, default 8 MiB */
    void (*free_response)(void* response, void* user_data); /* may be NULL */
    void* user_data;
    cw_allocator_t allocator;
} cw_runonce_desc_t;

typedef struct cw_runonce_t cw_runonce_t;

cw_runonce_t* cw_runonce_setup(const cw_runonce_desc_t* desc);
void cw_runonce_shutdown(cw_runonce_t* t);
cw_ticket_t cw_runonce_ticket(const cw_runonce_t* t, int64_t now_ms);
cw_runonce_begin_t cw_runonce_begin(cw_runonce_t* t, int64_t now_ms, uint64_t workspace, const char* key,
                                    uint64_t body_hash);
/* The call ran or may have run: its key must not run again. Takes ownership of the response, which may be NULL; frees
   the oldest responses when all together exceed max_response_bytes. */
void cw_runonce_complete(cw_runonce_t* t, uint32_t record, void* response, size_t bytes);
/* The call provably did not run: its key may be used again. */
void cw_runonce_abort(cw_runonce_t* t, uint32_t record);
uint32_t cw_runonce_count(const cw_runonce_t* t);
/* Memory of the table itself, without the stored responses. */
size_t cw_runonce_bytes(const cw_runonce_t* t);

#endif /* CHALKWAY_RUNONCE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_RUNONCE_IMPL_INCLUDED
#define CHALKWAY_RUNONCE_IMPL_INCLUDED

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

typedef enum _cw_run_state_t { _CW_RUN_FREE = 0, _CW_RUN_RUNNING, _CW_RUN_STORED, _CW_RUN_DROPPED } _cw_run_state_t;

typedef struct _cw_run_record_t {
    _cw_run_state_t state;
    uint64_t hash; /* of workspace and key */
    uint64_t workspace;
    uint64_t body_hash;
    void* response;
    size_t bytes;
    uint32_t next; /* in the free list, or in the list of records with a response, oldest first */
    char key[CW_IDEMPOTENCY_KEY_MAX];
} _cw_run_record_t;

struct cw_runonce_t {
    cw_runonce_desc_t desc;
    char host[CW_NAME_MAX];
    _cw_run_record_t* records;
    uint32_t free_record;
    uint32_t oldest, newest; /* records with a stored response */
    size_t response_bytes;
    cw_map_t by_key;
    cw_heap_t expiry;
};

static cw_runonce_desc_t _cw_runonce_desc_defaults(const cw_runonce_desc_t* desc) {
    cw_runonce_desc_t d = *desc;
    d.ticket_ms = d.ticket_ms ? d.ticket_ms : 60000;
    d.max_deadline_ms = d.max_deadline_ms ? d.max_deadline_ms : 120000;
    d.max_records = d.max_records ? d.max_records : 4096;
    d.max_response_bytes = d.max_response_bytes ? d.max_response_bytes : (size_t)8 << 20;
    return d;
}

cw_runonce_t* cw_runonce_setup(const cw_runonce_desc_t* desc) {
    assert(desc->host && desc->incarnation);
    cw_runonce_desc_t d = _cw_runonce_desc_defaults(desc);
    cw_runonce_t* t = cw_alloc(&d.allocator, 1, sizeof(*t));
    t->desc = d;
    cw_copy(t->host, sizeof(t->host), d.host);
    t->records = cw_alloc(&d.allocator, d.max_records, sizeof(*t->records));
    t->by_key = cw_map_setup(d.max_records, &d.allocator);
    t->expiry = cw_heap_setup(d.max_records, &d.allocator);
    for (uint32_t i = 0; i < d.max_records; i++) {
        t->records[i].next = i + 1 < d.max_records ? i + 1 : CW_RUN_NONE;
    }
    t->oldest = t->newest = CW_RUN_NONE;
    return t;
}

static void _cw_run_free_response(cw_runonce_t* t, _cw_run_record_t* r) {
    if (r->response && t->desc.free_response) {
        t->desc.free_response(r->response, t->desc.user_data);
    }
    t->response_bytes -= r->bytes;
    r->response = NULL;
    r->bytes = 0;
}

void cw_runonce_shutdown(cw_runonce_t* t) {
    cw_allocator_t a = t->desc.allocator;
    for (uint32_t i = 0; i < t->desc.max_records; i++) {
        _cw_run_free_response(t, &t->records[i]);
    }
    cw_map_shutdown(&t->by_key);
    cw_heap_shutdown(&t->expiry);
    cw_free(&a, t->records);
    cw_free(&a, t);
}

cw_ticket_t cw_runonce_ticket(const cw_runonce_t* t, int64_t now_ms) {
    cw_ticket_t ticket;
    snprintf(ticket.text, sizeof(ticket.text), "%s~%016" PRIx64 "~%" PRIx64, t->host, t->desc.incarnation,
             (uint64_t)(now_ms + t->desc.ticket_ms));
    return ticket;
}

typedef struct _cw_run_parsed_t {
    bool is_valid, is_own;
    int64_t expiry_ms;
} _cw_run_parsed_t;

/* Parses HOST~INCARNATION~EXPIRY/SUFFIX. */
static _cw_run_parsed_t _cw_run_parse_key(const cw_runonce_t* t, const char* key) {
    _cw_run_parsed_t p = {0};
    const char* host_end = strchr(key, '~');
    const char* slash = strchr(key, '/');
    if (!host_end || !slash || slash < host_end || !slash[1] || strlen(key) >= CW_IDEMPOTENCY_KEY_MAX) {
        return p;
    }
    char* end = NULL;
    uint64_t incarnation = strtoull(host_end + 1, &end, 16);
    if (end != host_end + 17 || *end != '~') {
        return p;
    }
    const char* expiry = end + 1;
    p.expiry_ms = (int64_t)strtoull(expiry, &end, 16);
    p.is_valid = (end == slash && end != expiry);
    size_t host_len = (size_t)(host_end - key);
    p.is_own = strlen(t->host) == host_len && memcmp(t->host, key, host_len) == 0 && incarnation == t->desc.incarnation;
    return p;
}

/* Removes a record from the list of stored responses and frees its response. */
static void _cw_run_drop_response(cw_runonce_t* t, uint32_t record) {
    uint32_t prev = CW_RUN_NONE;
    for (uint32_t i = t->oldest; i != CW_RUN_NONE; prev = i, i = t->records[i].next) {
        if (i != record) {
            continue;
        }
        if (prev == CW_RUN_NONE) {
            t->oldest = t->records[i].next;
        } else {
            t->records[prev].next = t->records[i].next;
        }
        t->newest = (t->newest == record) ? prev : t->newest;
        break;
    }
    _cw_run_free_response(t, &t->records[record]);
}

static void _cw_run_remove(cw_runonce_t* t, uint32_t record) {
    _cw_run_record_t* r = &t->records[record];
    if (r->state == _CW_RUN_STORED) {
        _cw_run_drop_response(t, record);
    }
    cw_heap_remove(&t->expiry, record);
    cw_map_remove(&t->by_key, r->hash);
    r->state = _CW_RUN_FREE;
    r->next = t->free_record;
    t->free_record = record;
}

static void _cw_run_remove_expired(cw_runonce_t* t, int64_t now_ms) {
    uint32_t i = cw_heap_top(&t->expiry);
    while (i != CW_HEAP_NONE && cw_heap_key(&t->expiry, i) < (double)now_ms && t->records[i].state != _CW_RUN_RUNNING) {
        _cw_run_remove(t, i);
        i = cw_heap_top(&t->expiry);
    }
}

static cw_runonce_begin_t _cw_run_find_verdict(const cw_runonce_t* t, uint32_t record, uint64_t workspace,
                                               const char* key, uint64_t body_hash) {
    const _cw_run_record_t* r = &t->records[record];
    cw_runonce_begin_t b = {.record = record};
    if (r->workspace != workspace || strcmp(r->key, key) != 0 || r->body_hash != body_hash) {
        b.verdict = CW_RUN_MISMATCH;
        b.record = CW_RUN_NONE;
    } else if (r->state == _CW_RUN_RUNNING) {
        b.verdict = CW_RUN_JOIN;
    } else if (r->state == _CW_RUN_STORED) {
        b.verdict = CW_RUN_REPLAY;
        b.response = r->response;
    } else {
        b.verdict = CW_RUN_RESPONSE_LOST;
    }
    return b;
}

cw_runonce_begin_t cw_runonce_begin(cw_runonce_t* t, int64_t now_ms, uint64_t workspace, const char* key,
                                    uint64_t body_hash) {
    _cw_run_remove_expired(t, now_ms);
    _cw_run_parsed_t p = _cw_run_parse_key(t, key);
    if (!p.is_valid) {
        return (cw_runonce_begin_t){.verdict = CW_RUN_NO_TICKET, .record = CW_RUN_NONE};
    }
    if (!p.is_own) {
        return (cw_runonce_begin_t){.verdict = CW_RUN_UNKNOWN, .record = CW_RUN_NONE};
    }
    uint64_t hash = XXH64(key, strlen(key), workspace);
    hash = hash ? hash : 1;
    uint32_t record = cw_map_get(&t->by_key, hash);
    if (record != CW_MAP_NONE) {
        return _cw_run_find_verdict(t, record, workspace, key, body_hash);
    }
    /* The record of an expired ticket may have been removed. A ticket that expires later than any of this process's
       tickets was not issued here. */
    if (p.expiry_ms < now_ms || p.expiry_ms > now_ms + t->desc.ticket_ms) {
        return (cw_runonce_begin_t){.verdict = CW_RUN_UNKNOWN, .record = CW_RUN_NONE};
    }
    record = t->free_record;
    if (record == CW_RUN_NONE) {
        return (cw_runonce_begin_t){.verdict = CW_RUN_FULL, .record = CW_RUN_NONE};
    }
    _cw_run_record_t* r = &t->records[record];
    t->free_record = r->next;
    *r = (_cw_run_record_t){.state = _CW_RUN_RUNNING, .hash = hash, .workspace = workspace, .body_hash = body_hash};
    cw_copy(r->key, sizeof(r->key), key);
    cw_map_put(&t->by_key, hash, record);
    cw_heap_set(&t->expiry, record, (double)(p.expiry_ms + t->desc.max_deadline_ms));
    return (cw_runonce_begin_t){.verdict = CW_RUN_NEW, .record = record};
}

void cw_runonce_complete(cw_runonce_t* t, uint32_t record, void* response, size_t bytes) {
    _cw_run_record_t* r = &t->records[record];
    assert(r->state == _CW_RUN_RUNNING);
    r->response = response;
    r->bytes = bytes;
    t->response_bytes += bytes;
    if (!response || bytes > t->desc.max_response_bytes) {
        r->state = _CW_RUN_DROPPED;
        _cw_run_free_response(t, r);
        return;
    }
    r->state = _CW_RUN_STORED;
    r->next = CW_RUN_NONE;
    if (t->newest == CW_RUN_NONE) {
        t->oldest = record;
    } else {
        t->records[t->newest].next = record;
    }
    t->newest = record;
    while (t->response_bytes > t->desc.max_response_bytes) {
        uint32_t old = t->oldest;
        _cw_run_drop_response(t, old);
        t->records[old].state = _CW_RUN_DROPPED;
    }
}

void cw_runonce_abort(cw_runonce_t* t, uint32_t record) {
    assert(t->records[record].state == _CW_RUN_RUNNING);
    _cw_run_remove(t, record);
}

uint32_t cw_runonce_count(const cw_runonce_t* t) {
    return t->by_key.count;
}

size_t cw_runonce_bytes(const cw_runonce_t* t) {
    size_t record_bytes = sizeof(_cw_run_record_t) + 2 * sizeof(uint32_t) + sizeof(double);
    return sizeof(*t) + t->desc.max_records * record_bytes + ((size_t)t->by_key.mask + 1) * sizeof(_cw_map_slot_t);
}

#endif /* CHALKWAY_RUNONCE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
