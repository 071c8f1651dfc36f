#ifndef CW_GATEWAY_FRONT_H
#define CW_GATEWAY_FRONT_H
/*
    Callers' connections: HTTP/1.1 over cw_stream_t, one request at a time on each.

    A request is handed over when all of it has been read, within the limits of the configuration in force. The owner
    answers whole or piece by piece. A caller that leaves is noticed at once, since its connection is read all the
    while. What a caller sends ahead waits, bounded.
*/
#include "../io/message.h"
#include "../io/stream.h"

typedef struct front_t front_t;
typedef struct caller_t caller_t;

typedef struct front_limits_t {
    uint32_t head_bytes;
    uint32_t body_bytes;
    uint32_t head_ms;
    uint32_t idle_ms;
} front_limits_t;

typedef struct front_desc_t {
    struct ev_loop* loop;
    const char* address;
    uint32_t max_connections;
    size_t max_body_total; /* bytes of all bodies held; beyond it requests are refused with 503 */
    const char* retry_after_field;
    front_limits_t (*limits)(void* user_data);
    void (*on_request)(caller_t* caller, void* user_data);
    /* The caller left before its answer was complete; the handle is not valid afterwards. */
    void (*on_gone)(caller_t* caller, void* user_data);
    /* All that was written has been sent. */
    void (*on_drained)(caller_t* caller, void* user_data);
    void* user_data;
} front_desc_t;

typedef struct front_stats_t {
    uint64_t accepted, requests, refused_full, broken, timed_out;
    uint32_t open, active;
    size_t body_bytes;
} front_stats_t;

front_t* front_setup(const front_desc_t* desc, cw_error_t* err);
void front_shutdown(front_t* front);
/* The bound address, with the port that the kernel picked. */
const char* front_address(const front_t* front);
/* From now on every answer asks the caller to close its connection. */
void front_leave(front_t* front);
front_stats_t front_stats(const front_t* front);

/* The request's head and body, valid until the answer is complete. */
const cw_message_t* caller_message(const caller_t* c);
const cw_buffer_t* caller_body(const caller_t* c);
void caller_set_data(caller_t* c, void* data);
void* caller_data(const caller_t* c);
/* A whole answer. fields: lines "Name: value\r\n", may be empty. Ends the use of the handle. */
void caller_reply(caller_t* c, unsigned status, const char* fields, const void* body, size_t size);
/* Begins an answer in pieces; length is of use with CW_FRAMING_LENGTH. */
void caller_begin(caller_t* c, unsigned status, const char* fields, cw_framing_t framing, uint64_t length);
void caller_write(caller_t* c, const void* data, size_t size);
/* Bytes written that wait to be sent. */
size_t caller_unsent(const caller_t* c);
/* Ends an answer in pieces; whole = false breaks the connection. Ends the use of the handle. */
void caller_finish(caller_t* c, bool whole);

#endif
