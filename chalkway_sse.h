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
          and the ids have risen so far, those up to the last one are.
        - Other ids have no order. The server is trusted to begin after the
          last one, but an event with that id is skipped, and a stream that
          begins with the first id of all is skipped up to the last one.
        - Events without an id are held until the next id shows their place.

        After an event without an id nothing names the place at which another
        server is to begin (cw_sse_can_resume).

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

#define CW_SSE_ID_MAX 128                 /* bytes of an id, with its terminating zero; a longer one counts as none */
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
    bool has_fallen;              /* the ids returned are numbers that fell */
    bool is_past_id;              /* an event without an id was returned since the one with last_id */
    cw_sse_join_t join;
    size_t held;    /* bytes of complete events after the consumed bytes whose place isn't known yet */
    uint64_t taken; /* events returned, held or skipped since the last restart */
    char* data;
    size_t size, capacity, consumed; /* consumed: bytes at the start of data that were returned or skipped */
} cw_sse_t;

void cw_sse_feed(cw_sse_t* e, const char* data, size_t size);
/* Follows the stream without buffering it. Not to be mixed with cw_sse_feed. */
void cw_sse_track(cw_sse_t* e, const char* data, size_t size);
/* Returns the complete events that arrived since the last call, concatenated; size 0: none. Skipped events split the
   result, so call it until size is 0. */
cw_bytes_view_t cw_sse_take(cw_sse_t* e);
/* Whether another server can go on after the events returned so far: the last one has an id, or there is none. Comments
   are not counted. */
bool cw_sse_can_resume(const cw_sse_t* e);
/* Returns the bytes after the last event returned, once the stream is known to be complete; valid until the next call.
   They are skipped if they begin an event that was returned before the restart. */
cw_bytes_view_t cw_sse_take_rest(cw_sse_t* e);
/* Whether the events since the last restart end before the last one returned: the stream lacks those in between. */
bool cw_sse_is_behind(const cw_sse_t* e);
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

/* What an event says of its place in the stream. */
typedef struct _cw_sse_fields_t {
    char id[CW_SSE_ID_MAX]; /* "": it has none that names its place */
    bool has_data;          /* else it is a comment, or sets the time between two retries */
} _cw_sse_fields_t;

/* Returns the value of the line if it is the field with this name, else NULL. */
static const char* _cw_sse_field_value(const char* line, const char* end, const char* name) {
    size_t length = strlen(name);
    if ((size_t)(end - line) < length || memcmp(line, name, length) != 0) {
        return NULL;
    }
    const char* value = line + length;
    if (value < end && *value != ':') {
        return NULL;
    }
    value += value < end;
    while (value < end && *value == ' ') {
        value++;
    }
    return value;
}

/* Copies the id, or "" if a header field can't carry it unchanged. */
static void _cw_sse_copy_id(char out[CW_SSE_ID_MAX], const char* id, const char* end) {
    while (end > id && (end[-1] == ' ' || end[-1] == '\t')) {
        end--;
    }
    size_t size = (size_t)(end - id);
    bool fits = size < CW_SSE_ID_MAX;
    for (const char* byte = id; fits && byte < end; byte++) {
        fits = (unsigned char)*byte >= ' ' && *byte != 127;
    }
    size = fits ? size : 0;
    memcpy(out, id, size);
    out[size] = 0;
}

static void _cw_sse_read_line(_cw_sse_fields_t* fields, const char* line, const char* end) {
    const char* id = _cw_sse_field_value(line, end, "id");
    if (id) {
        _cw_sse_copy_id(fields->id, id, end);
    }
    fields->has_data = fields->has_data || _cw_sse_field_value(line, end, "data");
}

/* Each id line replaces the one before. */
static _cw_sse_fields_t _cw_sse_read_event(const char* event, size_t size) {
    _cw_sse_fields_t fields = {0};
    const char* end = event + size;
    for (const char* line = event; line < end;) {
        const char* next = line;
        while (next < end && !_cw_sse_is_line_end(*next)) {
            next++;
        }
        _cw_sse_read_line(&fields, line, next);
        line = next + 1;
    }
    return fields;
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

static bool _cw_sse_are_numbers(const char* a, const char* b) {
    return _cw_sse_is_decimal(a) && _cw_sse_is_decimal(b);
}

static bool _cw_sse_is_last(const cw_sse_t* e, const char* id) {
    return _cw_sse_are_numbers(id, e->last_id) ? _cw_sse_compare_decimal(id, e->last_id) == 0
                                               : strcmp(id, e->last_id) == 0;
}

/* Whether the event with this id precedes the last one returned. */
static bool _cw_sse_is_behind(const cw_sse_t* e, const char* id) {
    if (_cw_sse_are_numbers(id, e->last_id) && !e->has_fallen) {
        return _cw_sse_compare_decimal(id, e->last_id) < 0;
    }
    return e->join == CW_SSE_JOIN_BEHIND || strcmp(id, e->first_id) == 0;
}

/* Whether the event with this id was returned before the restart. join: where the stream stands after it. */
static bool _cw_sse_is_duplicate(const cw_sse_t* e, const char* id, cw_sse_join_t* join) {
    *join = CW_SSE_JOINED;
    if (e->join == CW_SSE_JOINED || !e->last_id[0]) {
        return false;
    }
    bool is_last = _cw_sse_is_last(e, id);
    bool is_behind = !is_last && _cw_sse_is_behind(e, id);
    *join = is_behind ? CW_SSE_JOIN_BEHIND : CW_SSE_JOINED;
    return is_last || is_behind;
}

static void _cw_sse_set_position(cw_sse_t* e, const _cw_sse_fields_t* fields) {
    if (!fields->id[0]) {
        e->is_past_id = e->is_past_id || fields->has_data;
        return;
    }
    e->has_fallen = e->has_fallen || (_cw_sse_are_numbers(fields->id, e->last_id) &&
                                      _cw_sse_compare_decimal(fields->id, e->last_id) < 0);
    memcpy(e->last_id, fields->id, sizeof(e->last_id));
    if (!e->first_id[0]) {
        memcpy(e->first_id, fields->id, sizeof(e->first_id));
    }
    e->is_past_id = false;
}

typedef enum _cw_sse_verdict_t {
    _CW_SSE_PASS = 0,
    _CW_SSE_HOLD, /* until the next id shows its place */
    _CW_SSE_SKIP  /* with those that are held */
} _cw_sse_verdict_t;

/* join: where the stream stands after the event. */
static _cw_sse_verdict_t _cw_sse_judge(const cw_sse_t* e, const _cw_sse_fields_t* fields, cw_sse_join_t* join) {
    if (fields->id[0]) {
        return _cw_sse_is_duplicate(e, fields->id, join) ? _CW_SSE_SKIP : _CW_SSE_PASS;
    }
    *join = e->join;
    bool is_unplaced = e->join == CW_SSE_JOIN_START && e->last_id[0] && (fields->has_data || e->held);
    return e->join == CW_SSE_JOIN_BEHIND ? _CW_SSE_SKIP : is_unplaced ? _CW_SSE_HOLD : _CW_SSE_PASS;
}

cw_bytes_view_t cw_sse_take(cw_sse_t* e) {
    size_t begin = e->consumed;
    size_t end = begin;
    bool is_incomplete = e->scan.count == e->taken; /* an event isn't scanned again with each piece that arrives */
    while (!e->has_overflowed && !is_incomplete) {
        size_t at = end + e->held;
        size_t length = _cw_sse_event_length(e, e->data + at, e->size - at);
        if (!length) {
            break;
        }
        _cw_sse_fields_t fields = _cw_sse_read_event(e->data + at, length);
        cw_sse_join_t join = e->join;
        _cw_sse_verdict_t verdict = _cw_sse_judge(e, &fields, &join);
        if (verdict == _CW_SSE_SKIP && end > begin) {
            break; /* the events before the skipped one are returned first */
        }
        e->join = join;
        e->taken++;
        if (verdict == _CW_SSE_HOLD) {
            e->held += length;
            continue;
        }
        e->held = 0;
        end = at + length;
        if (verdict == _CW_SSE_SKIP) {
            begin = end;
            continue;
        }
        _cw_sse_set_position(e, &fields);
        e->count++;
    }
    e->consumed = end;
    return (cw_bytes_view_t){.data = e->data ? e->data + begin : "", .size = end - begin};
}

cw_bytes_view_t cw_sse_take_rest(cw_sse_t* e) {
    size_t begin = e->consumed;
    size_t at = begin + e->held;
    if (at < e->size) {
        _cw_sse_fields_t fields = _cw_sse_read_event(e->data + at, e->size - at);
        cw_sse_join_t join = e->join;
        begin = _cw_sse_judge(e, &fields, &join) == _CW_SSE_SKIP ? e->size : begin;
        e->join = join;
    }
    e->consumed = e->size;
    e->held = 0;
    return (cw_bytes_view_t){.data = e->data ? e->data + begin : "", .size = e->size - begin};
}

bool cw_sse_is_behind(const cw_sse_t* e) {
    return e->join == CW_SSE_JOIN_BEHIND;
}

void cw_sse_restart(cw_sse_t* e) {
    e->size = e->consumed = 0;
    e->scan = (cw_sse_scan_t){0};
    e->taken = 0;
    e->held = 0;
    e->has_overflowed = false;
    e->join = CW_SSE_JOIN_START;
}

bool cw_sse_can_resume(const cw_sse_t* e) {
    return !e->is_past_id;
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
