#ifndef CW_IO_STREAM_H
#define CW_IO_STREAM_H
/*
    Non-blocking TCP connection on a libev loop with a send buffer.

    The owner embeds cw_stream_t. The stream is not accessed after a callback returns, so a callback may close the
    stream and free its owner. on_end is called at most once, after the socket has been closed.
*/
#include <ev.h>
#include <netinet/in.h>

#include "../chalkway_core.h"
#include "buffer.h"

typedef enum cw_stream_end_reason_t {
    CW_STREAM_PEER_CLOSED = 0, /* the peer closed its sending side (FIN) */
    CW_STREAM_RESET,           /* reset by the peer */
    CW_STREAM_CONN_LOST,       /* no acknowledgement in time, or another error: the peer or the network path is down */
    CW_STREAM_CONNECT_FAILED   /* the connection could not be established */
} cw_stream_end_reason_t;

typedef struct cw_stream_handlers_t {
    void (*on_open)(void* owner); /* connected; may be NULL */
    void (*on_data)(void* owner, const char* data, size_t size);
    void (*on_drained)(void* owner); /* the kernel has taken all bytes written; may be NULL */
    void (*on_end)(void* owner, cw_stream_end_reason_t end);
} cw_stream_handlers_t;

typedef struct cw_stream_t {
    struct ev_loop* loop;
    const cw_stream_handlers_t* handlers;
    void* owner;
    int fd; /* -1: closed */
    bool is_connecting;
    bool may_have_more; /* the last read didn't drain the socket */
    ev_io read_io, write_io;
    cw_buffer_t out;
    size_t out_start; /* bytes of out that have been sent */
} cw_stream_t;

/* Takes ownership of an accepted, non-blocking socket and starts reading. */
void cw_stream_accept(cw_stream_t* s, struct ev_loop* loop, int fd, const cw_stream_handlers_t* handlers, void* owner);
/* Starts to connect; on_open or on_end follows. CW_ERR_IO: no socket can be opened or connect fails immediately. */
cw_status_t cw_stream_connect(cw_stream_t* s, struct ev_loop* loop, const struct sockaddr_in* address,
                              const cw_stream_handlers_t* handlers, void* owner);
/* The same from a given address of this host, whose port may be 0. */
cw_status_t cw_stream_connect_from(cw_stream_t* s, struct ev_loop* loop, const struct sockaddr_in* source,
                                   const struct sockaddr_in* address, const cw_stream_handlers_t* handlers,
                                   void* owner);
/* Ends the stream with CW_STREAM_CONN_LOST when the peer acknowledges nothing for timeout_ms; idle connections are
   probed with TCP keep-alive. */
void cw_stream_set_peer_timeout(cw_stream_t* s, uint32_t timeout_ms);
/* Appends to the send buffer; cw_stream_flush sends it. */
void cw_stream_write(cw_stream_t* s, const void* data, size_t size);
/* Sends as much as the socket takes now, the rest when it becomes writable. Errors are reported by on_end from the
   event loop, never from within this function. */
void cw_stream_flush(cw_stream_t* s);
/* Number of bytes in the send buffer. */
size_t cw_stream_unsent_bytes(const cw_stream_t* s);
/* Stops or resumes reading, for backpressure: while reading is paused, TCP flow control slows the sender down. */
void cw_stream_pause_reading(cw_stream_t* s, bool paused);
/* Closes the sending side; data from the peer is still read. */
void cw_stream_shutdown_write(cw_stream_t* s);
/* Closes the socket; no callback is called afterwards. Does nothing when already closed. */
void cw_stream_close(cw_stream_t* s);
/* Closes with a TCP reset, so that the peer does not take truncated data for complete. */
void cw_stream_abort(cw_stream_t* s);

#endif
