#ifndef CHALKWAY_SSE_H
#define CHALKWAY_SSE_H
/*
    chalkway_sse.h -- complete events of a text/event-stream

    WHAT IT IS
        Buffers the bytes of a stream of server-sent events and returns only
        complete events, so that a stream which breaks inside an event can
        be resumed at another server with no event lost or duplicated. It
        records the id of the last event returned. After a restart, events
        that were returned before are skipped:

        - If their ids and the last one are decimal numbers, of any length,
          those up to the last one are.
        - Other ids have no order. The server is trusted to begin after the
          last one, but an event with that id is skipped, and a stream that
          begins with the first id of all is skipped up to the last one.

        A stream that can't be resumed is followed without being buffered
        (cw_sse_track), to tell whether it ends after an event.

    HOW TO USE IT
            cw_sse_t e = {0};
            cw_sse_feed(&e, data, size);
            cw_bytes_view_t events = cw_sse_take(&e);   // valid until the next call
            // when the stream breaks: request the events after e.last_id, then
            cw_sse_restart(&e);

    WHAT IT DOES NOT DO
        It does not interpret the data of events.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

#define CW_SSE_ID_MAX 48
#define CW_SSE_EVENT_BYTES_MAX (1U << 20) /* a longer event sets has_overflowed */

/* Where the events since a restart stand. */
typedef enum cw_sse_join_t {
    CW_SSE_JOINED = 0, /* after the last event returned */
    CW_SSE_JOIN_START, /* no event with an id has arrived */
    CW_SSE_JOIN_BEHIND /* at events that were returned before */
} cw_sse_join_t;

/* Finds the ends of events: an event ends with a blank line. Lines end with LF, CRLF or CR. */
typedef struct cw_sse_scan_t {
    uint64_t count; /* complete events */
    bool is_in_event;
    /* private */
    bool is_in_line, was_cr, uses_crlf;
    bool is_lf_due; /* the blank line's CR has been read, and its LF is expected */
} cw_sse_scan_t;

typedef struct cw_sse_t {
    char last_id[CW_SSE_ID_MAX]; /* id of the last event returned that has one, "": none */
    uint64_t count;              /* events returned */
    cw_sse_scan_t scan;          /* of the bytes since the last restart */
    bool has_overflowed;         /* an event exceeded CW_SSE_EVENT_BYTES_MAX; no more events are returned */
    /* private */
    char first_id[CW_SSE_ID_MAX]; /* id of the first event returned that has one */
    cw_sse_join_t join;
    uint64_t taken; /* events returned or skipped since the last restart */
    char* data;
    size_t size, capacity, consumed; /* consumed: bytes at the start of data that were returned or skipped */
} cw_sse_t;

void cw_sse_feed(cw_sse_t* e, const char* data, size_t size);
/* Follows the stream without buffering it. Not to be mixed with cw_sse_feed. */
void cw_sse_track(cw_sse_t* e, const char* data, size_t size);
/* Returns the complete events that arrived since the last call, concatenated; size 0: none. Skipped events split the
   result, so call it until size is 0. */
cw_bytes_view_t cw_sse_take(cw_sse_t* e);
/* Returns the bytes after the last complete event, once the stream is known to be complete; valid until the next call.
 */
cw_bytes_view_t cw_sse_take_rest(cw_sse_t* e);
/* Drops an incomplete event after the stream broke; the next bytes come from another stream. */
void cw_sse_restart(cw_sse_t* e);
/* Whether the bytes since the last restart end after a complete event. False before the first one. */
bool cw_sse_ends_after_event(const cw_sse_t* e);
void cw_sse_free(cw_sse_t* e);

#endif /* CHALKWAY_SSE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_SSE_IMPL_INCLUDED
#define CHALKWAY_SSE_IMPL_INCLUDED

#include <stdlib.h>
#include <string.h>

static bool _cw_sse_is_line_end(char byte) {
    return byte == '\n' || byte == '\r';
}

/* Returns whether the byte is the last one of an event. */
static bool _cw_sse_scan_byte(cw_sse_scan_t* s, char byte) {
    bool is_lf_of_crlf = byte == '\n' && s->was_cr;
    bool is_blank_line = _cw_sse_is_line_end(byte) && !is_lf_of_crlf && !s->is_in_line && s->is_in_event;
    bool needs_lf = byte == '\r' && s->uses_crlf;
    bool is_end = is_lf_of_crlf ? s->is_lf_due : is_blank_line && !needs_lf;
    s->is_lf_due = is_blank_line && needs_lf;
    s->uses_crlf = s->uses_crlf || is_lf_of_crlf;
    s->was_cr = byte == '\r';
    s->is_in_line = !_cw_sse_is_line_end(byte);
    s->is_in_event = (s->is_in_event || s->is_in_line) && !is_end;
    s->count += is_end;
    return is_end;
}

void cw_sse_track(cw_sse_t* e, const char* data, size_t size) {
    for (size_t i = 0; i < size; i++) {
        _cw_sse_scan_byte(&e->scan, data[i]);
    }
}

void cw_sse_feed(cw_sse_t* e, const char* data, size_t size) {
    cw_sse_track(e, data, size);
    if (e->consumed) {
        memmove(e->data, e->data + e->consumed, e->size - e->consumed);
        e->size -= e->consumed;
        e->consumed = 0;
    }
    if (e->size + size > CW_SSE_EVENT_BYTES_MAX) {
        e->has_overflowed = true;
        return;
    }
    if (e->size + size > e->capacity) {
        e->capacity = (e->size + size) * 2;
        char* grown = realloc(e->data, e->capacity);
        if (!grown) {
            abort();
        }
        e->data = grown;
    }
    memcpy(e->data + e->size, data, size);
    e->size += size;
}

/* Length of the event at the start of the text, with its blank line; 0: it is incomplete. */
static size_t _cw_sse_event_length(const cw_sse_t* e, const char* text, size_t size) {
    cw_sse_scan_t scan = {.uses_crlf = e->scan.uses_crlf};
    for (size_t i = 0; i < size; i++) {
        if (_cw_sse_scan_byte(&scan, text[i])) {
            return i + 1;
        }
    }
    return 0;
}

/* Copies the value of the event's last id line; returns false when it has none. */
static bool _cw_sse_find_id(const char* event, size_t size, char id[CW_SSE_ID_MAX]) {
    const char* end = event + size;
    bool has_id = false;
    for (const char* line = event; line < end;) {
        const char* next = line;
        while (next < end && !_cw_sse_is_line_end(*next)) {
            next++;
        }
        size_t length = (size_t)(next - line);
        if (length > 3 && strncmp(line, "id:", 3) == 0) {
            const char* value = line + 3;
            const char* stop = line + length;
            while (value < stop && *value == ' ') {
                value++;
            }
            size_t n = (size_t)(stop - value);
            n = n < CW_SSE_ID_MAX - 1 ? n : CW_SSE_ID_MAX - 1;
            memcpy(id, value, n);
            id[n] = 0;
            has_id = true;
        }
        line = next + 1;
    }
    return has_id;
}

static bool _cw_sse_is_decimal(const char* id) {
    return id[0] && !id[strspn(id, "0123456789")];
}

/* Compares decimal numbers of any length. Returns a value below, at or above 0. */
static int _cw_sse_compare_decimal(const char* a, const char* b) {
    a += strspn(a, "0");
    b += strspn(b, "0");
    size_t length_a = strlen(a);
    size_t length_b = strlen(b);
    return length_a != length_b ? (length_a < length_b ? -1 : 1) : strcmp(a, b);
}

static bool _cw_sse_is_last(const cw_sse_t* e, const char* id) {
    bool are_numbers = _cw_sse_is_decimal(id) && _cw_sse_is_decimal(e->last_id);
    return are_numbers ? _cw_sse_compare_decimal(id, e->last_id) == 0 : strcmp(id, e->last_id) == 0;
}

/* Whether the event with this id precedes the last one returned. */
static bool _cw_sse_is_behind(const cw_sse_t* e, const char* id) {
    if (_cw_sse_is_decimal(id) && _cw_sse_is_decimal(e->last_id)) {
        return _cw_sse_compare_decimal(id, e->last_id) < 0;
    }
    return e->join == CW_SSE_JOIN_BEHIND || strcmp(id, e->first_id) == 0;
}

/* Whether the event with this id was returned before the restart. */
static bool _cw_sse_is_duplicate(cw_sse_t* e, const char* id) {
    if (e->join == CW_SSE_JOINED || !e->last_id[0]) {
        return false;
    }
    bool is_last = _cw_sse_is_last(e, id);
    bool is_behind = !is_last && _cw_sse_is_behind(e, id);
    e->join = is_behind ? CW_SSE_JOIN_BEHIND : CW_SSE_JOINED;
    return is_last || is_behind;
}

cw_bytes_view_t cw_sse_take(cw_sse_t* e) {
    size_t begin = e->consumed;
    size_t at = begin;
    bool is_incomplete = e->scan.count == e->taken; /* an event isn't scanned again with each piece that arrives */
    while (!e->has_overflowed && !is_incomplete) {
        size_t length = _cw_sse_event_length(e, e->data + at, e->size - at);
        if (!length) {
            break;
        }
        e->taken++;
        char id[CW_SSE_ID_MAX];
        bool has_id = _cw_sse_find_id(e->data + at, length, id);
        if (has_id && _cw_sse_is_duplicate(e, id)) {
            if (at > begin) {
                break; /* the events before the skipped one are returned first */
            }
            begin = at = at + length;
            e->consumed = at;
            continue;
        }
        if (has_id) {
            memcpy(e->last_id, id, sizeof(id));
            if (!e->first_id[0]) {
                memcpy(e->first_id, id, sizeof(id));
            }
            e->join = CW_SSE_JOINED;
        }
        e->count++;
        at += length;
    }
    e->consumed = at;
    return (cw_bytes_view_t){.data = e->data ? e->data + begin : "", .size = at - begin};
}

cw_bytes_view_t cw_sse_take_rest(cw_sse_t* e) {
    cw_bytes_view_t rest = {.data = e->data ? e->data + e->consumed : "", .size = e->size - e->consumed};
    e->consumed = e->size;
    return rest;
}

void cw_sse_restart(cw_sse_t* e) {
    e->size = e->consumed = 0;
    e->scan = (cw_sse_scan_t){0};
    e->taken = 0;
    e->has_overflowed = false;
    e->join = CW_SSE_JOIN_START;
}

bool cw_sse_ends_after_event(const cw_sse_t* e) {
    return e->scan.count > 0 && !e->scan.is_in_event;
}

void cw_sse_free(cw_sse_t* e) {
    free(e->data);
    *e = (cw_sse_t){0};
}

#endif /* CHALKWAY_SSE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
