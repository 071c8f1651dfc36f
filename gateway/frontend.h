#ifndef CW_GATEWAY_FRONTEND_H
#define CW_GATEWAY_FRONTEND_H
/*
    Callers' connections: HTTP/1.1 over cw_stream_t, with one request at a time on each.

    A request is handed to the owner after it has been read completely, within the limits of the active
    configuration. The owner responds at once or in pieces. Each connection is read all the time, so that its end is
    noticed at once. Bytes that a caller pipelines are buffered, up to a bound.
*/
#include "../io/message.h"
#include "../io/stream.h"

typedef struct frontend_t frontend_t;
typedef struct caller_t caller_t;

typedef struct frontend_limits_t {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_ms;
    uint32_t idle_ms;
    bool is_provisional; /* no configuration is known yet: it may allow larger requests */
} frontend_limits_t;

typedef struct frontend_desc_t {
    struct ev_loop* loop;
    const char* address;
    uint32_t max_connections;
    size_t max_body_total; /* bytes of all buffered bodies; above this, requests are rejected with 503 */
    const char* retry_after_field;
    frontend_limits_t (*limits)(void* user_data);
    void (*on_request)(caller_t* caller, void* user_data);
    /* The caller closed its connection before the response was complete. The handle is invalid afterwards. */
    void (*on_caller_closed)(caller_t* caller, void* user_data);
    /* Everything written has been sent. */
    void (*on_drained)(caller_t* caller, void* user_data);
    void* user_data;
} frontend_desc_t;

typedef struct frontend_stats_t {
    uint64_t accepted, requests, rejected_full, malformed, timed_out;
    uint32_t open, active;
    size_t body_bytes;
} frontend_stats_t;

/* Responses that were received in full and wait for their callers to read them. */
typedef struct frontend_unsent_t {
    uint32_t responses;
    uint64_t bytes;
} frontend_unsent_t;

frontend_t* frontend_setup(const frontend_desc_t* desc, cw_error_t* err);
void frontend_shutdown(frontend_t* front);
/* The bound address, with the port that the kernel assigned. */
const char* frontend_address(const frontend_t* front);
/* From now on every response asks the caller to close its connection. */
void frontend_drain(frontend_t* front);
frontend_stats_t frontend_stats(const frontend_t* front);
frontend_unsent_t frontend_unsent(const frontend_t* front);

/* The request's head and body, valid until the response is complete. */
const cw_message_t* caller_request(const caller_t* c);
const cw_buffer_t* caller_body(const caller_t* c);
void caller_set_data(caller_t* c, void* data);
void* caller_data(const caller_t* c);
/* Sends a complete response. fields: lines "Name: value\r\n", may be empty. Ends the use of the handle. */
void caller_reply(caller_t* c, unsigned status, const char* fields, const void* body, size_t size);
/* Begins a response in pieces. length is used with CW_FRAMING_LENGTH only. */
void caller_begin_response(caller_t* c, unsigned status, const char* fields, cw_framing_t framing, uint64_t length);
void caller_write(caller_t* c, const void* data, size_t size);
/* Bytes written but not sent yet. */
size_t caller_unsent_bytes(const caller_t* c);
/* Ends a response in pieces. is_complete = false resets the connection. Ends the use of the handle. */
void caller_end_response(caller_t* c, bool is_complete);

#endif
