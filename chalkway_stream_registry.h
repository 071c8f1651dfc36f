#ifndef CHALKWAY_STREAM_REGISTRY_H
#define CHALKWAY_STREAM_REGISTRY_H
/*
    chalkway_stream_registry.h -- which software version began a stream

    WHAT IT IS
        A table of the streams that may still be resumed, with the version of
        the server that sent their first event. A host records the streams
        that it carries, and those that other hosts announce. Streams are
        forgotten when their callers have given up, and the oldest when the
        table is full.

    HOW TO USE IT
            cw_stream_registry_t* r = cw_stream_registry_setup(16384, NULL);
            cw_stream_registry_put(r, now_ms, &(cw_stream_record_t){...});
            const cw_stream_record_t* known = cw_stream_registry_find(r, now_ms, stream);

    WHAT IT DOES NOT DO
        It has no messages (chalkway_stream_message.h) and doesn't know which
        versions serve (chalkway_pool_versions.h).

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Copies of a record that arrive in turn differ in their expiry by the delay of messages. */
#define CW_STREAM_PROLONG_MIN_MS 500

typedef struct cw_stream_record_t {
    uint64_t stream;  /* hash of the workspace and the id of the attempt that brought the first event */
    uint64_t pool;    /* id of the pool's name */
    uint64_t version; /* cw_server_version_id of the server that sent the first event */
    int64_t expires_ms;
    bool is_own; /* carried by this host */
} cw_stream_record_t;

typedef struct cw_stream_registry_t cw_stream_registry_t;

/* allocator may be NULL. */
cw_stream_registry_t* cw_stream_registry_setup(uint32_t capacity, const cw_allocator_t* allocator);
void cw_stream_registry_shutdown(cw_stream_registry_t* r);
/* Adds the stream, or remembers a known one for longer: its version does not change. Returns whether it was added or
   prolonged, by at least CW_STREAM_PROLONG_MIN_MS. */
bool cw_stream_registry_put(cw_stream_registry_t* r, int64_t now_ms, const cw_stream_record_t* record);
/* NULL: the stream is not known. Valid until the next cw_stream_registry_put. */
const cw_stream_record_t* cw_stream_registry_find(const cw_stream_registry_t* r, int64_t now_ms, uint64_t stream);
/* Copies up to max of this host's own streams of the pool, from position *at on, and sets *at to the next position, 0
   after the last one. Returns their number. */
uint32_t cw_stream_registry_list_own(const cw_stream_registry_t* r, int64_t now_ms, uint64_t pool, uint32_t* at,
                                     cw_stream_record_t* out, uint32_t max);
/* Copies up to max streams, whoever carries them, in the order of their arrival. *at: number of the arrival to begin
   with, set to the one to continue with. Returns their number; fewer than max: there are no more yet. */
uint32_t cw_stream_registry_list(const cw_stream_registry_t* r, int64_t now_ms, uint64_t* at, cw_stream_record_t* out,
                                 uint32_t max);
uint32_t cw_stream_registry_count(const cw_stream_registry_t* r);
/* Streams that were forgotten early because the table was full. */
uint64_t cw_stream_registry_evicted(const cw_stream_registry_t* r);

#endif /* CHALKWAY_STREAM_REGISTRY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_STREAM_REGISTRY_IMPL_INCLUDED
#define CHALKWAY_STREAM_REGISTRY_IMPL_INCLUDED

#include "chalkway_map.h"

struct cw_stream_registry_t {
    cw_allocator_t allocator;
    cw_map_t index;            /* stream to position */
    cw_stream_record_t* items; /* ring, in the order of arrival */
    uint32_t capacity, first, count;
    uint32_t empty;   /* of count: places whose stream has been put again */
    uint64_t dropped; /* streams that have left the ring: the arrival number of the first one in it */
    uint64_t evicted;
};

cw_stream_registry_t* cw_stream_registry_setup(uint32_t capacity, const cw_allocator_t* allocator) {
    cw_stream_registry_t* r = cw_alloc(allocator, 1, sizeof(*r));
    if (allocator) {
        r->allocator = *allocator;
    }
    r->capacity = capacity;
    r->items = cw_alloc(allocator, capacity, sizeof(*r->items));
    r->index = cw_map_setup(capacity, allocator);
    return r;
}

void cw_stream_registry_shutdown(cw_stream_registry_t* r) {
    cw_allocator_t allocator = r->allocator;
    cw_map_shutdown(&r->index);
    cw_free(&allocator, r->items);
    cw_free(&allocator, r);
}

static void _cw_stream_registry_drop_first(cw_stream_registry_t* r) {
    if (r->items[r->first].stream) {
        cw_map_remove(&r->index, r->items[r->first].stream);
    } else {
        r->empty--;
    }
    r->first = (r->first + 1) % r->capacity;
    r->count--;
    r->dropped++;
}

/* Whether the record says more than the known one of the same stream. An expired one is worth nothing any more. */
static bool _cw_stream_registry_is_news(const cw_stream_record_t* known, int64_t now_ms,
                                        const cw_stream_record_t* record) {
    bool is_same_version = known->version == record->version;
    bool is_prolonged = record->expires_ms - known->expires_ms >= CW_STREAM_PROLONG_MIN_MS;
    return known->expires_ms <= now_ms || (is_same_version && is_prolonged);
}

bool cw_stream_registry_put(cw_stream_registry_t* r, int64_t now_ms, const cw_stream_record_t* record) {
    uint32_t known = record->stream ? cw_map_get(&r->index, record->stream) : CW_MAP_NONE;
    if (!record->stream || (known != CW_MAP_NONE && !_cw_stream_registry_is_news(&r->items[known], now_ms, record))) {
        return false;
    }
    if (known != CW_MAP_NONE) {
        cw_map_remove(&r->index, record->stream);
        r->items[known] = (cw_stream_record_t){0};
        r->empty++;
    }
    while (r->count && r->items[r->first].expires_ms <= now_ms) {
        _cw_stream_registry_drop_first(r);
    }
    if (r->count == r->capacity) {
        _cw_stream_registry_drop_first(r);
        r->evicted++;
    }
    uint32_t at = (r->first + r->count++) % r->capacity;
    r->items[at] = *record;
    cw_map_put(&r->index, record->stream, at);
    return true;
}

const cw_stream_record_t* cw_stream_registry_find(const cw_stream_registry_t* r, int64_t now_ms, uint64_t stream) {
    uint32_t at = stream ? cw_map_get(&r->index, stream) : CW_MAP_NONE;
    return at != CW_MAP_NONE && r->items[at].expires_ms > now_ms ? &r->items[at] : NULL;
}

uint32_t cw_stream_registry_list_own(const cw_stream_registry_t* r, int64_t now_ms, uint64_t pool, uint32_t* at,
                                     cw_stream_record_t* out, uint32_t max) {
    uint32_t listed = 0;
    for (; *at < r->count && listed < max; ++*at) {
        const cw_stream_record_t* record = &r->items[(r->first + *at) % r->capacity];
        if (record->is_own && record->pool == pool && record->expires_ms > now_ms) {
            out[listed++] = *record;
        }
    }
    *at = *at < r->count ? *at : 0;
    return listed;
}

uint32_t cw_stream_registry_list(const cw_stream_registry_t* r, int64_t now_ms, uint64_t* at, cw_stream_record_t* out,
                                 uint32_t max) {
    uint32_t listed = 0;
    *at = *at < r->dropped ? r->dropped : *at;
    for (; *at < r->dropped + r->count && listed < max; ++*at) {
        const cw_stream_record_t* record = &r->items[(r->first + (*at - r->dropped)) % r->capacity];
        if (record->expires_ms > now_ms) {
            out[listed++] = *record;
        }
    }
    return listed;
}

uint32_t cw_stream_registry_count(const cw_stream_registry_t* r) {
    return r->count - r->empty;
}

uint64_t cw_stream_registry_evicted(const cw_stream_registry_t* r) {
    return r->evicted;
}

#endif /* CHALKWAY_STREAM_REGISTRY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
