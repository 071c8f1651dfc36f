#ifndef CW_IO_HTTPD_H
#define CW_IO_HTTPD_H
/*
    HTTP server on a libev loop, by libmicrohttpd.

    A request is handed over when its body has been read; its connection is
    suspended until the answer is given, at once or later, whole or as a
    stream. No thread is used. One exchange is one request and its answer.
*/
#include <ev.h>

#include "../chalkway_core.h"

typedef struct cw_httpd_t cw_httpd_t;
typedef struct cw_exchange_t cw_exchange_t;

typedef struct cw_header_t {
    const char* name;
    const char* value;
} cw_header_t;

typedef struct cw_httpd_desc_t {
    struct ev_loop* loop;
    const char* address;      /* IP:PORT, port 0 for any */
    size_t max_body;          /* default 1 MiB; longer ones are answered 413 */
    uint32_t max_connections; /* default 2000 */
    uint32_t max_per_ip;      /* connections of one client address, default no limit */
    uint32_t idle_s;          /* a connection that moves nothing is closed, default 60 */
    void (*on_request)(cw_exchange_t* x, void* user_data);
    /* The caller left before the answer was complete. The exchange must not be used afterwards. May be NULL. */
    void (*on_gone)(cw_exchange_t* x, void* user_data);
    /* All that was pushed has been taken over for sending. May be NULL. */
    void (*on_drained)(cw_exchange_t* x, void* user_data);
    void* user_data;
} cw_httpd_desc_t;

cw_httpd_t* cw_httpd_setup(const cw_httpd_desc_t* desc, cw_error_t* err);
void cw_httpd_shutdown(cw_httpd_t* h);
/* The bound address, with the port the kernel picked. */
const char* cw_httpd_address(const cw_httpd_t* h);
/* Exchanges that are not complete. */
uint32_t cw_httpd_active(const cw_httpd_t* h);

const char* cw_exchange_method(const cw_exchange_t* x);
/* Path without the query. */
const char* cw_exchange_path(const cw_exchange_t* x);
/* NULL when absent. */
const char* cw_exchange_header(cw_exchange_t* x, const char* name);
const char* cw_exchange_arg(cw_exchange_t* x, const char* name);
/* The body, with a zero after its end. */
const char* cw_exchange_body(const cw_exchange_t* x, size_t* size);
void cw_exchange_set_data(cw_exchange_t* x, void* data);
void* cw_exchange_data(const cw_exchange_t* x);

/* Answers with a whole body, which is copied. Ends the caller's use of the exchange. */
void cw_exchange_reply(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count, const void* body,
                       size_t size);
/* Begins a streamed answer. */
void cw_exchange_stream(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count);
/* Adds to the stream; returns the bytes that wait to be sent. */
size_t cw_exchange_push(cw_exchange_t* x, const void* data, size_t size);
/* Bytes of the stream that wait to be sent. */
size_t cw_exchange_pending(const cw_exchange_t* x);
/* Ends the stream; whole = false breaks the connection so that the cut is seen. Ends the use of the exchange. */
void cw_exchange_finish(cw_exchange_t* x, bool whole);

#endif
