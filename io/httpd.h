#ifndef CW_IO_HTTPD_H
#define CW_IO_HTTPD_H
/*
    HTTP server on a libev loop, built on libmicrohttpd, single-threaded.

    An exchange is one request and its response. on_request is called once
    the request body has been read. The connection stays suspended until the
    user replies, from within on_request or later, with a complete response
    or a stream.
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
    const char* address;             /* IP:PORT; port 0: the kernel picks one */
    size_t max_body_bytes;           /* default 1 MiB; a request with a longer body is answered 413 */
    uint32_t max_connections;        /* default 2000 */
    uint32_t max_connections_per_ip; /* connections from one IP address, default no limit */
    uint32_t idle_timeout_s;         /* a connection without traffic for this long is closed, default 60 */
    void (*on_request)(cw_exchange_t* x, void* user_data);
    /* The caller closed its connection before the response was complete. The exchange must not be used afterwards. May
       be NULL. */
    void (*on_caller_closed)(cw_exchange_t* x, void* user_data);
    /* libmicrohttpd has taken all pushed bytes for sending. May be NULL. */
    void (*on_drained)(cw_exchange_t* x, void* user_data);
    void* user_data;
} cw_httpd_desc_t;

cw_httpd_t* cw_httpd_setup(const cw_httpd_desc_t* desc, cw_error_t* err);
void cw_httpd_shutdown(cw_httpd_t* h);
/* The bound address, IP:PORT, with the actual port. */
const char* cw_httpd_address(const cw_httpd_t* h);
/* Number of exchanges in progress. */
uint32_t cw_httpd_active_exchanges(const cw_httpd_t* h);
/* Number of responses that the user has completed and that are not sent yet. */
uint32_t cw_httpd_unsent_responses(const cw_httpd_t* h);

const char* cw_exchange_method(const cw_exchange_t* x);
/* Request path without the query. */
const char* cw_exchange_path(const cw_exchange_t* x);
/* Value of a request header field, and of a query argument; NULL when absent. */
const char* cw_exchange_header(cw_exchange_t* x, const char* name);
const char* cw_exchange_arg(cw_exchange_t* x, const char* name);
/* The request body, zero-terminated; size may be NULL. */
const char* cw_exchange_body(const cw_exchange_t* x, size_t* size);
void cw_exchange_set_data(cw_exchange_t* x, void* data);
void* cw_exchange_data(const cw_exchange_t* x);

/* Sends a complete response; the body is copied. The exchange must not be used afterwards. */
void cw_exchange_reply(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count, const void* body,
                       size_t size);
/* Starts a streamed response. */
void cw_exchange_stream(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count);
/* The same without chunks: the response ends with its connection. */
void cw_exchange_stream_unframed(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count);
/* Appends to the stream; returns the number of bytes still to be sent. */
size_t cw_exchange_push(cw_exchange_t* x, const void* data, size_t size);
/* Number of bytes of the stream still to be sent. */
size_t cw_exchange_pending(const cw_exchange_t* x);
/* Ends the stream. With is_complete = false the connection is broken off, so that the caller can tell that the response
   is truncated. The exchange must not be used afterwards. */
void cw_exchange_finish(cw_exchange_t* x, bool is_complete);

#endif
