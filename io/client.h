#ifndef CW_IO_CLIENT_H
#define CW_IO_CLIENT_H
/*
    HTTP client on a libev loop, built on libcurl's multi interface.

    Idle connections are reused unless the call sets use_new_connection.
    on_sending is called immediately before the first byte of a request is
    sent; until it has returned true, no byte of the request has been sent.
    Heads and bodies without end fail the call: both have a longest size.
*/
#include <ev.h>

#include "httpd.h"

typedef struct cw_client_t cw_client_t;
typedef struct cw_call_t cw_call_t;

#define CW_CALL_BODY_MAX_BYTES (16U << 20)

typedef struct cw_call_result_t {
    bool is_complete;    /* the response is complete according to its framing */
    bool is_unframed;    /* the response has no framing and ended with its connection, which was closed, not reset */
    bool sent;           /* bytes of the request may have been sent */
    bool is_vetoed;      /* on_sending returned false */
    unsigned status;     /* 0: no complete response head received */
    const char* message; /* reason when the response is not complete, else "" */
} cw_call_result_t;

typedef struct cw_call_desc_t {
    const char* method; /* default: POST with a body, else GET */
    const char* url;
    const cw_header_t* headers;
    uint32_t header_count;
    const void* body; /* not copied: must stay valid until on_done */
    size_t size;
    uint32_t connect_timeout_ms; /* default 1000 */
    uint32_t timeout_ms;         /* from start to end of the call, default none */
    /* Longest body; the call fails when more is received, and its connection is closed. Default
       CW_CALL_BODY_MAX_BYTES. */
    uint64_t max_body_bytes;
    /* Never reuses an idle connection: libcurl resends a request when a reused connection turns out dead. */
    bool use_new_connection;
    /* Only on_done is required. on_sending returns false to abort the call before anything is sent. on_data returns
       false to pause: the data is not consumed and is passed again after cw_call_resume. */
    bool (*on_sending)(void* user_data);
    void (*on_head)(void* user_data, unsigned status, const char* content_type);
    bool (*on_data)(void* user_data, const char* data, size_t size);
    void (*on_done)(void* user_data, const cw_call_result_t* result);
    void* user_data;
} cw_call_desc_t;

/* max_idle: connections kept for reuse, default 256. */
cw_client_t* cw_client_setup(struct ev_loop* loop, uint32_t max_idle);
void cw_client_shutdown(cw_client_t* c);
/* Starts a call. on_done is called from the event loop, never from within this function. */
cw_call_t* cw_client_call(cw_client_t* c, const cw_call_desc_t* desc);
/* Cancels a call; none of its callbacks is called afterwards. May be called from any callback. */
void cw_call_cancel(cw_call_t* call);
/* Continues a call that on_data paused. */
void cw_call_resume(cw_call_t* call);
/* Value of a response header field; NULL when it is absent or the head has not been received. */
const char* cw_call_header(cw_call_t* call, const char* name);

#endif
