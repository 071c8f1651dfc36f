#ifndef CW_IO_STREAM_H
#define CW_IO_STREAM_H
/*
    One TCP connection on a libev loop, non-blocking, with a buffer for what waits to be sent.

    The owner embeds cw_stream_t. After any callback the stream is not touched again, so a callback may close the
    stream and free its owner. on_end comes at most once and the socket is closed by then.
*/
#include <ev.h>
#include <netinet/in.h>

#include "../chalkway_core.h"
#include "buffer.h"

typedef enum cw_stream_end_t {
    CW_STREAM_FINISHED = 0, /* the peer closed its side in order */
    CW_STREAM_RESET,        /* reset by the peer */
    CW_STREAM_LOST,         /* nothing came back in time: the peer, or the way to it, is gone */
    CW_STREAM_REFUSED       /* the connection did not come up */
} cw_stream_end_t;

typedef struct cw_stream_handlers_t {
    void (*on_open)(void* owner); /* connected; may be NULL */
    void (*on_data)(void* owner, const char* data, size_t size);
    void (*on_drained)(void* owner); /* all that was written has been taken over; may be NULL */
    void (*on_end)(void* owner, cw_stream_end_t end);
} cw_stream_handlers_t;

typedef struct cw_stream_t {
    struct ev_loop* loop;
    const cw_stream_handlers_t* handlers;
    void* owner;
    int fd; /* -1: closed */
    bool connecting;
    ev_io read_io, write_io;
    cw_buffer_t out;
    size_t out_start; /* bytes of out that have been sent */
} cw_stream_t;

/* Takes over an accepted socket. */
void cw_stream_accept(cw_stream_t* s, struct ev_loop* loop, int fd, const cw_stream_handlers_t* handlers, void* owner);
/* Starts to connect; CW_ERR_IO when no socket can be had or the address is refused at once. */
cw_status_t cw_stream_connect(cw_stream_t* s, struct ev_loop* loop, const struct sockaddr_in* address,
                              const cw_stream_handlers_t* handlers, void* owner);
/* A peer that acknowledges nothing for so long is taken as gone; also probes it when idle. */
void cw_stream_watch_peer(cw_stream_t* s, uint32_t silent_ms);
/* Queues bytes; cw_stream_flush sends them. */
void cw_stream_write(cw_stream_t* s, const void* data, size_t size);
/* Sends what can be sent now, the rest later. Errors come by on_end, never from within. */
void cw_stream_flush(cw_stream_t* s);
/* Bytes that wait to be sent. */
size_t cw_stream_unsent(const cw_stream_t* s);
/* Stops or goes on reading: a reader that is behind slows its sender. */
void cw_stream_pause(cw_stream_t* s, bool paused);
/* Sends the end of this side's bytes; the peer's may still come. */
void cw_stream_finish(cw_stream_t* s);
/* Closes the socket; no callback comes any more. May be called twice. */
void cw_stream_close(cw_stream_t* s);
/* Closes with a reset, so that nothing that was cut looks complete. */
void cw_stream_abort(cw_stream_t* s);

#endif
