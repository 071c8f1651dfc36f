#include "stream.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BLOCK_BYTES 16384
#define COMPACT_BYTES 32768 /* once this many bytes of out are sent, the rest is moved to the front */
#define MS_PER_S 1000U
#define KEEPALIVE_PROBES 2

static void on_readable(struct ev_loop* loop, ev_io* w, int events);
static void on_writable(struct ev_loop* loop, ev_io* w, int events);

static void stream_init(cw_stream_t* s, struct ev_loop* loop, int fd, const cw_stream_handlers_t* handlers,
                        void* owner) {
    *s = (cw_stream_t){.loop = loop, .handlers = handlers, .owner = owner, .fd = fd};
    ev_io_init(&s->read_io, on_readable, fd, EV_READ);
    ev_io_init(&s->write_io, on_writable, fd, EV_WRITE);
    s->read_io.data = s->write_io.data = s;
    int yes = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

void cw_stream_accept(cw_stream_t* s, struct ev_loop* loop, int fd, const cw_stream_handlers_t* handlers, void* owner) {
    stream_init(s, loop, fd, handlers, owner);
    ev_io_start(loop, &s->read_io);
}

cw_status_t cw_stream_connect(cw_stream_t* s, struct ev_loop* loop, const struct sockaddr_in* address,
                              const cw_stream_handlers_t* handlers, void* owner) {
    return cw_stream_connect_from(s, loop, NULL, address, handlers, owner);
}

cw_status_t cw_stream_connect_from(cw_stream_t* s, struct ev_loop* loop, const struct sockaddr_in* source,
                                   const struct sockaddr_in* address, const cw_stream_handlers_t* handlers,
                                   void* owner) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return CW_ERR_IO;
    }
    bool is_bound = !source || bind(fd, (const struct sockaddr*)source, sizeof(*source)) == 0;
    if (!is_bound || (connect(fd, (const struct sockaddr*)address, sizeof(*address)) != 0 && errno != EINPROGRESS)) {
        close(fd);
        return CW_ERR_IO;
    }
    stream_init(s, loop, fd, handlers, owner);
    s->is_connecting = true;
    ev_io_start(loop, &s->write_io);
    return CW_OK;
}

void cw_stream_set_peer_timeout(cw_stream_t* s, uint32_t timeout_ms) {
    int yes = 1;
    int probes = KEEPALIVE_PROBES;
    int interval_s = (int)(timeout_ms / (MS_PER_S * (KEEPALIVE_PROBES + 1)));
    interval_s = interval_s > 0 ? interval_s : 1;
    setsockopt(s->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
    setsockopt(s->fd, SOL_SOCKET, SO_KEEPALIVE, &yes, sizeof(yes));
    setsockopt(s->fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof(interval_s));
    setsockopt(s->fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
    setsockopt(s->fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

static void stream_end(cw_stream_t* s, cw_stream_end_reason_t end) {
    cw_stream_close(s);
    s->handlers->on_end(s->owner, end);
}

/* Ends the stream by the errno of the failed call. Only a reset shows that the peer's machine is still reachable. */
static void stream_fail(cw_stream_t* s) {
    stream_end(s, errno == ECONNRESET || errno == EPIPE ? CW_STREAM_RESET : CW_STREAM_CONN_LOST);
}

static void on_readable(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    cw_stream_t* s = w->data;
    char data[READ_BLOCK_BYTES];
    ssize_t n = recv(s->fd, data, sizeof(data), 0);
    s->may_have_more = n == (ssize_t)sizeof(data);
    if (n > 0) {
        s->handlers->on_data(s->owner, data, (size_t)n);
    } else if (n == 0) {
        stream_end(s, CW_STREAM_PEER_CLOSED);
    } else if (errno != EAGAIN && errno != EINTR) {
        stream_fail(s);
    }
}

static bool finish_connecting(cw_stream_t* s) {
    int failed = 0;
    socklen_t size = sizeof(failed);
    getsockopt(s->fd, SOL_SOCKET, SO_ERROR, &failed, &size);
    if (failed) {
        stream_end(s, CW_STREAM_CONNECT_FAILED);
        return false;
    }
    s->is_connecting = false;
    if (!cw_stream_unsent_bytes(s)) {
        ev_io_stop(s->loop, &s->write_io);
    }
    ev_io_start(s->loop, &s->read_io);
    if (s->handlers->on_open) {
        s->handlers->on_open(s->owner);
    }
    return true;
}

/* Sends until the socket would block; false on any other error. */
static bool send_pending(cw_stream_t* s) {
    while (cw_stream_unsent_bytes(s)) {
        ssize_t n = send(s->fd, s->out.data + s->out_start, cw_stream_unsent_bytes(s), MSG_NOSIGNAL);
        if (n < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        s->out_start += (size_t)n;
    }
    return true;
}

static void compact(cw_stream_t* s) {
    if (!cw_stream_unsent_bytes(s)) {
        cw_buffer_free(&s->out);
        s->out_start = 0;
    } else if (s->out_start > COMPACT_BYTES) {
        cw_buffer_consume(&s->out, s->out_start);
        s->out_start = 0;
    }
}

static void on_writable(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    cw_stream_t* s = w->data;
    if (s->is_connecting) {
        finish_connecting(s);
        return;
    }
    if (!send_pending(s)) {
        stream_fail(s);
        return;
    }
    compact(s);
    if (!cw_stream_unsent_bytes(s)) {
        ev_io_stop(s->loop, &s->write_io);
        if (s->handlers->on_drained) {
            s->handlers->on_drained(s->owner);
        }
    }
}

void cw_stream_write(cw_stream_t* s, const void* data, size_t size) {
    if (s->fd >= 0 && size) {
        cw_buffer_add(&s->out, data, size);
    }
}

void cw_stream_flush(cw_stream_t* s) {
    if (s->fd < 0 || s->is_connecting || !cw_stream_unsent_bytes(s) || ev_is_active(&s->write_io)) {
        return;
    }
    if (send_pending(s)) {
        compact(s);
    }
    if (cw_stream_unsent_bytes(s)) {
        ev_io_start(s->loop, &s->write_io); /* on_writable also reports the error of a broken socket */
    }
}

size_t cw_stream_unsent_bytes(const cw_stream_t* s) {
    return s->out.size - s->out_start;
}

void cw_stream_pause_reading(cw_stream_t* s, bool paused) {
    if (s->fd < 0 || s->is_connecting) {
        return;
    }
    if (paused) {
        ev_io_stop(s->loop, &s->read_io);
    } else {
        ev_io_start(s->loop, &s->read_io);
    }
}

void cw_stream_shutdown_write(cw_stream_t* s) {
    if (s->fd >= 0) {
        shutdown(s->fd, SHUT_WR);
    }
}

void cw_stream_close(cw_stream_t* s) {
    if (s->fd < 0) {
        return;
    }
    ev_io_stop(s->loop, &s->read_io);
    ev_io_stop(s->loop, &s->write_io);
    close(s->fd);
    s->fd = -1;
    cw_buffer_free(&s->out);
    s->out_start = 0;
}

void cw_stream_abort(cw_stream_t* s) {
    if (s->fd >= 0) {
        struct linger now = {.l_onoff = 1, .l_linger = 0};
        setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
    cw_stream_close(s);
}
