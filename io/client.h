#ifndef CW_IO_CLIENT_H
#define CW_IO_CLIENT_H
/*
    HTTP client on a libev loop, by libcurl's multi interface.

    Connections are kept and reused, save where fresh is set. The owner
    learns the exact moment before the first byte of a request leaves
    (on_sending) and may still stop it there.
*/
#include <ev.h>

#include "httpd.h"

typedef struct cw_client_t cw_client_t;
typedef struct cw_call_t cw_call_t;

typedef struct cw_call_result_t {
    bool whole;      /* the answer came to its proper end */
    bool sent;       /* bytes of the request may have left */
    bool vetoed;     /* on_sending said no */
    unsigned status; /* 0: no head came */
    const char* message;
} cw_call_result_t;

typedef struct cw_call_desc_t {
    const char* method; /* default POST with a body, else GET */
    const char* url;
    const cw_header_t* headers;
    uint32_t header_count;
    const void* body; /* must stay valid until the end */
    size_t size;
    uint32_t connect_ms; /* default 1000 */
    uint32_t timeout_ms; /* for all, default none */
    bool fresh;          /* new connection: nothing may be sent twice */
    /* All may be NULL but on_done. on_sending: return false to stop. on_data: return false to pause. */
    bool (*on_sending)(void* user_data);
    void (*on_head)(void* user_data, unsigned status, const char* content_type);
    bool (*on_data)(void* user_data, const char* data, size_t size);
    void (*on_done)(void* user_data, const cw_call_result_t* result);
    void* user_data;
} cw_call_desc_t;

cw_client_t* cw_client_setup(struct ev_loop* loop, uint32_t max_idle);
void cw_client_shutdown(cw_client_t* c);
/* Starts a call. on_done comes later, never from within. */
cw_call_t* cw_client_call(cw_client_t* c, const cw_call_desc_t* desc);
/* Ends a call; no callback comes any more. May be called from any callback. */
void cw_call_cancel(cw_call_t* call);
void cw_call_resume(cw_call_t* call);
/* Value of a header of the answer once the head came, else NULL. */
const char* cw_call_header(cw_call_t* call, const char* name);

#endif
