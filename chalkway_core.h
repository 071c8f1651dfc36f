#ifndef CHALKWAY_CORE_H
#define CHALKWAY_CORE_H
/*
    chalkway_core.h -- status codes, errors, allocator and names

    WHAT IT IS
        The types that every other module uses: a status enum, an error that
        carries the failed step and the peer, an allocator with callbacks,
        and 64-bit ids for names (xxHash of the text).

    HOW TO USE IT
        In exactly one C file:

            #define CHALKWAY_IMPL
            #include "chalkway_core.h"

        Elsewhere include it without the define. A function that can fail
        takes a cw_error_t* (NULL is allowed) and returns a cw_status_t:

            cw_error_t err = {0};
            if (cw_store_apply(store, &batch, &err) != CW_OK) {
                puts(cw_error_text(&err).text);
            }

    WHAT IT DOES NOT DO
        No exceptions, no global last error, no thread safety: one instance
        belongs to one thread.

    LICENCE
        MIT, see LICENSE.
*/
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* -- urgency -------------------------------------------------------------- */

/* Number of urgency levels; 0 is the most urgent, and values beyond the last level count as the last. Urgency is the
   only order of work: engines prefill prompts and preempt by it, and hosts forecast waits and refuse requests by it.
   When the forecast also ordered by the workspaces' priorities, 7 and 8 in 100 requests of the two most urgent kinds
   were refused, over 20 days of overload at nine engines, because of long prompts that the engines prefilled after
   them; with one order it is 1 in 100. */
#define CW_URGENCY_LEVELS 10

/* Level of an urgency, limited to the last one. */
static inline uint32_t cw_urgency_level(uint32_t urgency) {
    return urgency < CW_URGENCY_LEVELS ? urgency : CW_URGENCY_LEVELS - 1;
}

/* -- status and errors ---------------------------------------------------- */

typedef enum cw_status_t {
    CW_OK = 0,
    CW_ERR_INVALID,   /* invalid argument or input */
    CW_ERR_FULL,      /* a fixed-size pool or a limit is exhausted */
    CW_ERR_NOT_FOUND, /* no such name or id */
    CW_ERR_EXPIRED,   /* a ticket, grant or deadline has expired */
    CW_ERR_IO,        /* a socket or file call failed */
    CW_ERR_PROTOCOL,  /* the peer sent a message that violates the protocol */
    CW_ERR_STALE,     /* the revision or incarnation is older than one already seen */
    CW_STATUS_COUNT
} cw_status_t;

/* Bytes that belong to somebody else. */
typedef struct cw_bytes_view_t {
    const char* data;
    size_t size;
} cw_bytes_view_t;

#define CW_STEP_MAX 24
#define CW_PEER_MAX 64
#define CW_MESSAGE_MAX 192

/* What went wrong, at which step and at which peer. */
typedef struct cw_error_t {
    cw_status_t status;
    char step[CW_STEP_MAX];
    char peer[CW_PEER_MAX];
    char message[CW_MESSAGE_MAX];
} cw_error_t;

typedef struct cw_error_text_t {
    char text[CW_STEP_MAX + CW_PEER_MAX + CW_MESSAGE_MAX + 32];
} cw_error_text_t;

/* Returns the lower-case name of a status, e.g. "expired". */
const char* cw_status_name(cw_status_t status);

/* Fills err (if not NULL) and returns status. step and peer may be NULL. */
cw_status_t cw_fail(cw_error_t* err, cw_status_t status, const char* step, const char* peer, const char* fmt, ...)
    __attribute__((format(printf, 5, 6)));

/* Formats "status at STEP, peer PEER: MESSAGE". */
cw_error_text_t cw_error_text(const cw_error_t* err);

/* -- memory --------------------------------------------------------------- */

/* Memory callbacks; all zero means malloc and free. Used at setup only unless a module says otherwise. */
typedef struct cw_allocator_t {
    void* (*alloc_fn)(size_t size, void* user_data);
    void (*free_fn)(void* ptr, void* user_data);
    void* user_data;
} cw_allocator_t;

/* Returns zeroed memory for count items of size bytes; aborts the process when out of memory. */
void* cw_alloc(const cw_allocator_t* allocator, size_t count, size_t size);
void cw_free(const cw_allocator_t* allocator, void* ptr);

/* -- names ---------------------------------------------------------------- */

/* Size of the name of a resource or host, with its terminating zero. */
#define CW_NAME_MAX 64

/* Id of a name: xxHash64 of its text. 0 is never returned and means "none". */
uint64_t cw_name_id(const char* name);

/* The text by which a name of any length is known everywhere: the name itself if it is shorter than CW_NAME_MAX, else
   its start and its id, so that names with the same start stay distinct. */
void cw_name_shorten(const char* name, char out[CW_NAME_MAX]);

/* Hashes two ids into one, for rendezvous scores and shard ids. 0 is never returned. */
uint64_t cw_mix(uint64_t a, uint64_t b);

/* Copies text, truncated to size - 1 bytes, between two characters of UTF-8, and always zero-terminated. */
void cw_copy(char* dst, size_t size, const char* src);
/* Length of the text, or the largest one up to max at which it can be cut between two characters of UTF-8. */
size_t cw_utf8_fit(const char* text, size_t max);

#endif /* CHALKWAY_CORE_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_CORE_IMPL_INCLUDED
#define CHALKWAY_CORE_IMPL_INCLUDED

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

const char* cw_status_name(cw_status_t status) {
    static const char* const names[CW_STATUS_COUNT] = {"ok",      "invalid", "full",     "not-found",
                                                       "expired", "io",      "protocol", "stale"};
    return ((unsigned)status < CW_STATUS_COUNT) ? names[status] : "?";
}

#define _CW_UTF8_BYTES_MAX 4 /* of a character */

size_t cw_utf8_fit(const char* text, size_t max) {
    size_t length = strnlen(text, max);
    for (size_t cut = length, i = 0; length == max && i < _CW_UTF8_BYTES_MAX && i <= max; i++, cut--) {
        if (((unsigned char)text[cut] & 0xc0U) != 0x80U) {
            return cut;
        }
    }
    return length;
}

void cw_copy(char* dst, size_t size, const char* src) {
    size_t len = src ? cw_utf8_fit(src, size - 1) : 0;
    if (len) {
        memcpy(dst, src, len);
    }
    dst[len] = 0;
}

cw_status_t cw_fail(cw_error_t* err, cw_status_t status, const char* step, const char* peer, const char* fmt, ...) {
    if (err) {
        err->status = status;
        cw_copy(err->step, sizeof(err->step), step);
        cw_copy(err->peer, sizeof(err->peer), peer);
        va_list args;
        va_start(args, fmt);
        vsnprintf(err->message, sizeof(err->message), fmt, args);
        va_end(args);
    }
    return status;
}

cw_error_text_t cw_error_text(const cw_error_t* err) {
    cw_error_text_t out;
    snprintf(out.text, sizeof(out.text), "%s at %s%s%s: %s", cw_status_name(err->status),
             err->step[0] ? err->step : "?", err->peer[0] ? ", peer " : "", err->peer, err->message);
    return out;
}

void* cw_alloc(const cw_allocator_t* allocator, size_t count, size_t size) {
    size_t bytes = count * size;
    void* ptr = NULL;
    if (allocator && allocator->alloc_fn) {
        ptr = allocator->alloc_fn(bytes, allocator->user_data);
    } else {
        ptr = malloc(bytes ? bytes : 1);
    }
    if (!ptr) {
        abort();
    }
    memset(ptr, 0, bytes);
    return ptr;
}

void cw_free(const cw_allocator_t* allocator, void* ptr) {
    if (allocator && allocator->free_fn) {
        allocator->free_fn(ptr, allocator->user_data);
    } else {
        free(ptr);
    }
}

uint64_t cw_name_id(const char* name) {
    uint64_t id = XXH64(name, strlen(name), 0);
    return id ? id : 1;
}

void cw_name_shorten(const char* name, char out[CW_NAME_MAX]) {
    cw_copy(out, CW_NAME_MAX, name);
    if (strlen(name) >= CW_NAME_MAX) {
        snprintf(out + cw_utf8_fit(name, CW_NAME_MAX - 18), 18, "~%016llx", (unsigned long long)cw_name_id(name));
    }
}

uint64_t cw_mix(uint64_t a, uint64_t b) {
    const uint64_t both[2] = {a, b};
    uint64_t id = XXH64(both, sizeof(both), 0);
    return id ? id : 1;
}

#endif /* CHALKWAY_CORE_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
