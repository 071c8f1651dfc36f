#include "peers.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"

#define READ_BLOCK_BYTES 65536
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 2000
#define DATAGRAM_MAX_BYTES 4096
#define HELLO_TIMEOUT_MS 5000 /* an accepted link without a hello message after this time is closed */
#define MS_PER_S 1000.0

typedef struct link_t {
    cw_peers_t* peers;
    int fd;                          /* -1: closed; the entry stays in use for its backoff */
    uint64_t host;                   /* 0: accepted, no hello received yet */
    char address[CW_ADDR_TEXT_SIZE]; /* "" after the hello of an accepted link: only the other side reconnects */
    bool is_connecting;
    int connect_errno; /* connect failed immediately; reported in the next loop iteration, not from within a send */
    bool is_used;
    bool is_dirty; /* listed in cw_peers_t.dirty */
    ev_io read_io, write_io;
    uint8_t* in;
    size_t in_size, in_capacity;
    cw_buffer_t out;
    double last_frame_s; /* loop time of the last frame in either direction */
    double retry_s;      /* loop time before which no connection attempt is made */
    uint32_t backoff_ms;
} link_t;

struct cw_peers_t {
    cw_peers_desc_t desc;
    char address[CW_ADDR_TEXT_SIZE];
    cw_wire_t* wire;
    int listen_fd, udp_fd;
    ev_io listen_io, udp_io;
    ev_prepare prepare;
    ev_timer sweep;
    link_t* links;
    link_t** dirty; /* links with new data, flushed before the loop blocks */
    uint32_t dirty_count;
    cw_msg_t message; /* the frame decoded last */
    cw_gossip_t gossip;
    cw_peers_stats_t stats;
};

static void link_read(struct ev_loop* loop, ev_io* w, int events);
static void link_write(struct ev_loop* loop, ev_io* w, int events);

/* -- links ---------------------------------------------------------------- */

static link_t* link_alloc(cw_peers_t* p) {
    for (uint32_t i = 0; i < p->desc.max_links; i++) {
        if (!p->links[i].is_used) {
            p->links[i] = (link_t){.peers = p,
                                   .fd = -1,
                                   .is_used = true,
                                   .is_dirty = p->links[i].is_dirty,
                                   .last_frame_s = ev_now(p->desc.loop)};
            return &p->links[i];
        }
    }
    return NULL;
}

static link_t* link_find(cw_peers_t* p, uint64_t host) {
    link_t* closed = NULL;
    for (uint32_t i = 0; i < p->desc.max_links; i++) {
        link_t* l = &p->links[i];
        if (l->is_used && l->host == host) {
            if (l->fd >= 0) {
                return l;
            }
            closed = l;
        }
    }
    return closed;
}

static void link_start_reading(link_t* l) {
    ev_io_init(&l->read_io, link_read, l->fd, EV_READ);
    ev_io_init(&l->write_io, link_write, l->fd, EV_WRITE);
    l->read_io.data = l->write_io.data = l;
    ev_io_start(l->peers->desc.loop, &l->read_io);
    int yes = 1;
    setsockopt(l->fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
}

/* Closes the socket. After a failure, the entry of a link that this host opened stays in use, since it holds
   the backoff. */
static void link_end(link_t* l, bool failed, bool connection_refused) {
    cw_peers_t* p = l->peers;
    if (l->fd >= 0) {
        ev_io_stop(p->desc.loop, &l->read_io);
        ev_io_stop(p->desc.loop, &l->write_io);
        close(l->fd);
        p->stats.links--;
    }
    l->fd = -1;
    free(l->in);
    cw_buffer_free(&l->out);
    l->in = NULL;
    l->in_size = l->in_capacity = 0;
    uint64_t host = l->host;
    if (failed && l->address[0]) {
        uint32_t doubled = l->backoff_ms * 2;
        l->backoff_ms = doubled < BACKOFF_MIN_MS ? BACKOFF_MIN_MS : doubled;
        l->backoff_ms = l->backoff_ms > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : l->backoff_ms;
        double jitter = 0.5 + (double)rand() / RAND_MAX;
        l->retry_s = ev_now(p->desc.loop) + l->backoff_ms * jitter / MS_PER_S;
    } else {
        l->is_used = false;
    }
    if (host && p->desc.on_closed) {
        p->desc.on_closed(p->desc.user_data, host, connection_refused);
    }
}

static void link_close(link_t* l, bool failed) {
    link_end(l, failed, false);
}

static void link_append(link_t* l, cw_bytes_t bytes) {
    cw_buffer_add(&l->out, bytes.data, bytes.size);
    if (!l->is_dirty) {
        l->is_dirty = true;
        l->peers->dirty[l->peers->dirty_count++] = l;
        ev_feed_event(l->peers->desc.loop, &l->peers->prepare, EV_PREPARE);
    }
}

static void link_send_hello(link_t* l) {
    cw_peers_t* p = l->peers;
    cw_msg_t msg = {.type = CW_MSG_HELLO};
    msg.hello.version = CW_WIRE_VERSION;
    msg.hello.host = p->desc.host;
    cw_copy(msg.hello.cluster, sizeof(msg.hello.cluster), p->desc.cluster);
    link_append(l, cw_wire_encode_frame(p->wire, &msg));
}

static void link_flush(link_t* l) {
    if (l->is_connecting || !l->out.size) {
        return;
    }
    ssize_t n = send(l->fd, l->out.data, l->out.size, MSG_NOSIGNAL);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        link_close(l, true);
        return;
    }
    if (n > 0) {
        l->peers->stats.bytes_out += (uint64_t)n;
        cw_buffer_consume(&l->out, (size_t)n);
    }
    if (l->out.size) {
        ev_io_start(l->peers->desc.loop, &l->write_io);
    } else {
        ev_io_stop(l->peers->desc.loop, &l->write_io);
    }
}

static void link_write(struct ev_loop* loop, ev_io* w, int events) {
    (void)events;
    link_t* l = w->data;
    if (l->is_connecting) {
        int failed = 0;
        socklen_t len = sizeof(failed);
        getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &failed, &len);
        failed = l->connect_errno ? l->connect_errno : failed;
        if (failed) {
            link_end(l, true, failed == ECONNREFUSED);
            return;
        }
        l->is_connecting = false;
        l->backoff_ms = 0;
        ev_io_stop(loop, w);
    }
    link_flush(l);
}

static void on_prepare(struct ev_loop* loop, ev_prepare* w, int events) {
    (void)loop;
    (void)events;
    cw_peers_t* p = w->data;
    for (uint32_t i = 0; i < p->dirty_count; i++) {
        link_t* l = p->dirty[i];
        l->is_dirty = false;
        if (l->is_used && l->fd >= 0 && !ev_is_active(&l->write_io)) {
            link_flush(l);
        }
    }
    p->dirty_count = 0;
}

/* -- frames --------------------------------------------------------------- */

static void link_reject(link_t* l, cw_error_t* err) {
    cw_peers_t* p = l->peers;
    if (l->address[0]) {
        cw_copy(err->peer, sizeof(err->peer), l->address);
    }
    if (p->desc.on_protocol_error) {
        p->desc.on_protocol_error(p->desc.user_data, err);
    }
    link_close(l, true);
}

/* Handles the first message of a link, which identifies the peer. */
static bool link_handle_hello(link_t* l, const cw_msg_t* msg) {
    cw_error_t err = {0};
    if (msg->type != CW_MSG_HELLO) {
        cw_fail(&err, CW_ERR_PROTOCOL, "hello", l->address, "the first message is not a hello");
    } else if (strcmp(msg->hello.cluster, l->peers->desc.cluster) != 0) {
        cw_fail(&err, CW_ERR_PROTOCOL, "hello", l->address, "the peer belongs to cluster \"%s\"", msg->hello.cluster);
    } else if (l->host && l->host != msg->hello.host) {
        cw_fail(&err, CW_ERR_PROTOCOL, "hello", l->address, "the peer at this address is another host than expected");
    }
    if (err.status != CW_OK) {
        link_reject(l, &err);
        return false;
    }
    if (!l->host) {
        l->host = msg->hello.host;
        l->address[0] = 0; /* reconnecting is up to the other side */
    }
    return true;
}

static bool link_handle_frame(link_t* l, const uint8_t* body, size_t size) {
    cw_peers_t* p = l->peers;
    cw_error_t err = {0};
    if (cw_wire_decode(p->wire, body, size, &p->message, &err) != CW_OK) {
        link_reject(l, &err);
        return false;
    }
    p->stats.frames_in++;
    l->last_frame_s = ev_now(p->desc.loop);
    if (!l->host || p->message.type == CW_MSG_HELLO) {
        return link_handle_hello(l, &p->message);
    }
    p->desc.on_message(p->desc.user_data, l->host, &p->message);
    return l->is_used && l->fd >= 0;
}

static void link_parse_frames(link_t* l) {
    size_t at = 0;
    while (l->in_size - at >= CW_FRAME_HEADER) {
        uint32_t body = cw_wire_body_size(l->in + at);
        if (body > CW_FRAME_MAX || body == 0) {
            cw_error_t err = {0};
            cw_fail(&err, CW_ERR_PROTOCOL, "frame", l->address, "invalid frame size: %u bytes", body);
            link_reject(l, &err);
            return;
        }
        if (l->in_size - at < CW_FRAME_HEADER + (size_t)body) {
            break;
        }
        if (!link_handle_frame(l, l->in + at + CW_FRAME_HEADER, body)) {
            return;
        }
        at += CW_FRAME_HEADER + (size_t)body;
    }
    memmove(l->in, l->in + at, l->in_size - at);
    l->in_size -= at;
}

static void link_read(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    link_t* l = w->data;
    if (l->in_capacity - l->in_size < READ_BLOCK_BYTES) {
        l->in_capacity = l->in_size + READ_BLOCK_BYTES;
        uint8_t* grown = realloc(l->in, l->in_capacity);
        if (!grown) {
            abort();
        }
        l->in = grown;
    }
    ssize_t n = recv(l->fd, l->in + l->in_size, READ_BLOCK_BYTES, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        link_close(l, true);
        return;
    }
    l->in_size += (size_t)n;
    l->peers->stats.bytes_in += (uint64_t)n;
    link_parse_frames(l);
}

/* -- opening -------------------------------------------------------------- */

static void on_accept(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    cw_peers_t* p = w->data;
    struct sockaddr_in addr;
    socklen_t len = sizeof(addr);
    int fd = accept4(w->fd, (struct sockaddr*)&addr, &len, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    link_t* l = link_alloc(p);
    if (!l) {
        close(fd);
        return;
    }
    l->fd = fd;
    cw_addr_format(&addr, l->address);
    p->stats.links++;
    link_start_reading(l);
    link_send_hello(l);
}

static cw_status_t link_connect(link_t* l) {
    struct sockaddr_in addr;
    if (cw_addr_parse(l->address, &addr, NULL) != CW_OK) {
        return CW_ERR_INVALID;
    }
    l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (l->fd < 0) {
        return CW_ERR_IO;
    }
    l->peers->stats.links++;
    int result = connect(l->fd, (struct sockaddr*)&addr, sizeof(addr));
    l->is_connecting = result != 0;
    l->connect_errno = (result != 0 && errno != EINPROGRESS) ? errno : 0;
    link_start_reading(l);
    if (l->connect_errno) {
        ev_feed_event(l->peers->desc.loop, &l->write_io, EV_WRITE);
    } else if (l->is_connecting) {
        ev_io_start(l->peers->desc.loop, &l->write_io);
    }
    link_send_hello(l);
    return CW_OK;
}

/* Returns the open link to the host or opens one; NULL with the reason in status. */
static link_t* link_get_or_open(cw_peers_t* p, uint64_t host, const char* address, cw_status_t* status) {
    link_t* l = link_find(p, host);
    if (!l) {
        l = link_alloc(p);
        if (!l) {
            *status = CW_ERR_FULL;
            return NULL;
        }
        l->host = host;
    }
    if (l->fd >= 0) {
        return l;
    }
    cw_copy(l->address, sizeof(l->address), address);
    if (ev_now(p->desc.loop) < l->retry_s || link_connect(l) != CW_OK) {
        *status = CW_ERR_IO;
        return NULL;
    }
    return l;
}

void cw_peers_connect(cw_peers_t* p, uint64_t host, const char* address) {
    cw_status_t status = CW_OK;
    link_get_or_open(p, host, address, &status);
}

cw_status_t cw_peers_send(cw_peers_t* p, uint64_t host, const char* address, const cw_msg_t* msg) {
    cw_status_t status = CW_OK;
    link_t* l = link_get_or_open(p, host, address, &status);
    if (!l) {
        return status;
    }
    if (l->out.size > p->desc.max_unsent_bytes) {
        return CW_ERR_FULL;
    }
    link_append(l, cw_wire_encode_frame(p->wire, msg));
    l->last_frame_s = ev_now(p->desc.loop);
    p->stats.frames_out++;
    return CW_OK;
}

/* Closes links that are idle or sent no hello in time, and frees idle entries that hold only a backoff. */
static void on_sweep(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    cw_peers_t* p = w->data;
    double now_s = ev_now(loop);
    for (uint32_t i = 0; i < p->desc.max_links; i++) {
        link_t* l = &p->links[i];
        double idle_ms = (now_s - l->last_frame_s) * MS_PER_S;
        if (l->is_used && (idle_ms > p->desc.idle_timeout_ms || (!l->host && idle_ms > HELLO_TIMEOUT_MS))) {
            link_close(l, false);
        }
    }
}

/* -- gossip --------------------------------------------------------------- */

void cw_peers_send_gossip(cw_peers_t* p, const char* to, const cw_gossip_t* gossip) {
    struct sockaddr_in addr;
    if (cw_addr_parse(to, &addr, NULL) != CW_OK) {
        return;
    }
    cw_bytes_t bytes = cw_wire_encode_datagram(p->wire, p->desc.cluster, gossip);
    ssize_t n = sendto(p->udp_fd, bytes.data, bytes.size, 0, (struct sockaddr*)&addr, sizeof(addr));
    p->stats.gossip_bytes_out += n > 0 ? (uint64_t)n : 0;
}

static void on_datagram(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    cw_peers_t* p = w->data;
    uint8_t data[DATAGRAM_MAX_BYTES];
    ssize_t n = 0;
    while ((n = recv(w->fd, data, sizeof(data), MSG_DONTWAIT)) > 0) {
        cw_error_t err = {0};
        p->stats.gossip_bytes_in += (uint64_t)n;
        if (cw_wire_decode_datagram(p->wire, p->desc.cluster, data, (size_t)n, &p->gossip, &err) == CW_OK) {
            p->desc.on_gossip(p->desc.user_data, &p->gossip);
        } else if (p->desc.on_protocol_error) {
            p->desc.on_protocol_error(p->desc.user_data, &err);
        }
    }
}

/* -- setup ---------------------------------------------------------------- */

static cw_peers_desc_t desc_defaults(const cw_peers_desc_t* desc) {
    cw_peers_desc_t d = *desc;
    d.max_links = !d.on_message ? 0 : d.max_links ? d.max_links : 512;
    d.idle_timeout_ms = d.idle_timeout_ms ? d.idle_timeout_ms : 60000;
    d.max_unsent_bytes = d.max_unsent_bytes ? d.max_unsent_bytes : (size_t)8 << 20;
    return d;
}

cw_peers_t* cw_peers_setup(const cw_peers_desc_t* desc, cw_error_t* err) {
    cw_peers_t* p = calloc(1, sizeof(*p));
    if (!p) {
        abort();
    }
    p->desc = desc_defaults(desc);
    p->listen_fd = -1;
    cw_copy(p->address, sizeof(p->address), p->desc.address);
    if (p->desc.on_message) {
        p->listen_fd = cw_addr_listen(p->desc.address, p->address, err);
    }
    bool is_listening = p->listen_fd >= 0 || !p->desc.on_message;
    p->udp_fd = is_listening ? cw_addr_bind_udp(p->address, err) : -1;
    if (p->udp_fd < 0) {
        if (p->listen_fd >= 0) {
            close(p->listen_fd);
        }
        free(p);
        return NULL;
    }
    p->wire = cw_wire_setup(NULL);
    p->links = cw_alloc(NULL, p->desc.max_links, sizeof(*p->links));
    p->dirty = cw_alloc(NULL, p->desc.max_links, sizeof(link_t*));
    ev_io_init(&p->listen_io, on_accept, p->listen_fd, EV_READ);
    ev_io_init(&p->udp_io, on_datagram, p->udp_fd, EV_READ);
    ev_prepare_init(&p->prepare, on_prepare);
    ev_set_priority(&p->prepare, EV_MINPRI); /* run after all prepare watchers that may still send in this iteration */
    ev_timer_init(&p->sweep, on_sweep, 1.0, 1.0);
    p->listen_io.data = p->udp_io.data = p->prepare.data = p->sweep.data = p;
    if (p->listen_fd >= 0) {
        ev_io_start(p->desc.loop, &p->listen_io);
    }
    ev_io_start(p->desc.loop, &p->udp_io);
    ev_prepare_start(p->desc.loop, &p->prepare);
    ev_timer_start(p->desc.loop, &p->sweep);
    return p;
}

void cw_peers_shutdown(cw_peers_t* p) {
    p->desc.on_closed = NULL;
    for (uint32_t i = 0; i < p->desc.max_links; i++) {
        if (p->links[i].is_used) {
            link_close(&p->links[i], false);
        }
    }
    ev_io_stop(p->desc.loop, &p->listen_io);
    ev_io_stop(p->desc.loop, &p->udp_io);
    ev_prepare_stop(p->desc.loop, &p->prepare);
    ev_timer_stop(p->desc.loop, &p->sweep);
    if (p->listen_fd >= 0) {
        close(p->listen_fd);
    }
    close(p->udp_fd);
    cw_wire_shutdown(p->wire);
    free(p->links);
    free((void*)p->dirty);
    free(p);
}

const char* cw_peers_address(const cw_peers_t* p) {
    return p->address;
}

cw_peers_stats_t cw_peers_stats(const cw_peers_t* p) {
    return p->stats;
}
