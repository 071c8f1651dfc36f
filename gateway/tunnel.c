#include "tunnel.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../chalkway_tunnel_frame.h"
#include "../chalkway_wire.h"
#include "../io/address.h"
#include "clock.h"

#define MS_PER_S 1000.0
#define OPEN_TIMEOUT_MS 1000    /* for the request of a host that has connected */
#define CLOSE_TIMEOUT_MS 5000   /* for a host to read the server's last bytes and to close */
#define OPEN_MAX_BYTES 256      /* body of the request for a tunnel */
#define UNSENT_MAX_BYTES 262144 /* unsent bytes to one side above which the other one is not read */

typedef enum tunnel_phase_t {
    TUNNEL_ACCEPTED = 0, /* waiting for the request */
    TUNNEL_CONNECTING,   /* to the server */
    TUNNEL_OPEN,
    TUNNEL_CLOSING /* the server's connection has ended; the host has yet to read its last bytes and to close */
} tunnel_phase_t;

typedef struct tunnel_t {
    tunnels_t* tunnels;
    tunnel_phase_t phase;
    cw_stream_t host, server;
    cw_buffer_t request;
    uint64_t server_key;
    int64_t connecting_ms;
    ev_timer timer; /* limits all phases but TUNNEL_OPEN */
    bool is_framed; /* the host gets the server's bytes in frames */
    cw_message_t response;
    bool is_observed; /* the responses could be read so far */
    int64_t sent_ms;  /* when the first byte of the request in progress was forwarded */
    bool is_busy;     /* bytes of a request were forwarded since the last complete response */
    struct tunnel_t* prev;
    struct tunnel_t* next;
} tunnel_t;

struct tunnels_t {
    tunnels_desc_t desc;
    int listen_fd;
    ev_io accept_io;
    cw_wire_t* wire; /* NULL: not needed yet */
    tunnel_t* list;
    bool is_draining;
    tunnels_stats_t stats;
};

/* -- lifetime ------------------------------------------------------------- */

static void tunnel_free(tunnel_t* t) {
    tunnels_t* all = t->tunnels;
    ev_timer_stop(all->desc.loop, &t->timer);
    cw_stream_close(&t->host);
    cw_stream_close(&t->server);
    cw_buffer_free(&t->request);
    cw_message_shutdown(&t->response);
    if (t->prev) {
        t->prev->next = t->next;
    } else {
        all->list = t->next;
    }
    if (t->next) {
        t->next->prev = t->prev;
    }
    all->stats.open--;
    free(t);
}

/* Whether a request is in progress, or the host has yet to read the rest of a response. */
static bool is_in_use(const tunnel_t* t) {
    return t->is_busy || cw_stream_unsent_bytes(&t->host) > 0;
}

/* The server, if this host would send a request to it now. */
static server_t* find_server(const tunnel_t* t, const char** why) {
    server_t* s = upstreams_server(t->tunnels->desc.upstreams, t->server_key);
    *why = !s                                                                       ? "unknown server"
           : s->is_removed || s->is_hall_closed                                     ? "the server leaves"
           : cw_balance_is_backing_off(s->pool->balance, clock_ms(), t->server_key) ? "the server wants rest"
           : s->pool->reach.is_cut || s->is_path_broken                             ? "no path from here either"
                                                                                    : NULL;
    return *why ? NULL : s;
}

static void start_timer(tunnel_t* t, double ms) {
    ev_timer_stop(t->tunnels->desc.loop, &t->timer);
    ev_timer_set(&t->timer, ms / MS_PER_S, 0.0);
    ev_timer_start(t->tunnels->desc.loop, &t->timer);
}

/* -- replies -------------------------------------------------------------- */

static cw_wire_t* get_wire(tunnels_t* all) {
    all->wire = all->wire ? all->wire : cw_wire_setup(NULL);
    return all->wire;
}

static void send_reply(tunnel_t* t, cw_tunnel_result_t result) {
    const cw_msg_t msg = {.type = CW_MSG_TUNNEL_REPLY, .tunnel_reply = {.result = result, .is_framed = t->is_framed}};
    cw_bytes_t frame = cw_wire_encode_frame(get_wire(t->tunnels), &msg);
    cw_stream_write(&t->host, frame.data, frame.size);
    cw_stream_flush(&t->host);
}

/* Replies and closes. The few bytes of the reply fit the socket's buffer. */
static void refuse(tunnel_t* t, cw_tunnel_result_t result, const char* why) {
    tunnels_t* all = t->tunnels;
    all->stats.refused++;
    cw_log(all->desc.log, CW_EVENT_TUNNEL_REFUSED, "server_key=%016llx why=\"%s\" open=%u",
           (unsigned long long)t->server_key, why, all->stats.open);
    send_reply(t, result);
    tunnel_free(t);
}

/* -- the server's side ---------------------------------------------------- */

static void on_response_head(void* owner) {
    tunnel_t* t = owner;
    server_t* s = upstreams_server(t->tunnels->desc.upstreams, t->server_key);
    if (s) {
        server_read_pushback(s, &t->response, t->sent_ms);
    }
}

static const cw_message_handlers_t response_handlers = {.on_head = on_response_head};

/* Reads the responses that pass. Responses that can't be read are forwarded all the same: the host that asked for the
   tunnel judges them. */
static void observe(tunnel_t* t, const char* data, size_t size) {
    while (size && t->is_observed) {
        size_t used = cw_message_parse(&t->response, data, size);
        data += used;
        size -= used;
        if (t->response.state == CW_MESSAGE_MALFORMED) {
            t->is_observed = false;
        } else if (t->response.state == CW_MESSAGE_COMPLETE) {
            t->is_busy = t->is_busy && t->response.status / 100 == 1;
            cw_message_reset(&t->response);
        }
    }
}

static void forward(tunnel_t* t, cw_stream_t* from, cw_stream_t* to, const char* data, size_t size) {
    t->tunnels->stats.bytes += size;
    if (to == &t->host && t->is_framed) {
        uint8_t header[CW_TUNNEL_FRAME_HEADER];
        cw_tunnel_frame_begin(header, (uint32_t)size);
        cw_stream_write(to, header, sizeof(header));
    }
    cw_stream_write(to, data, size);
    cw_stream_flush(to);
    if (cw_stream_unsent_bytes(to) > UNSENT_MAX_BYTES) {
        cw_stream_pause_reading(from, true);
    }
}

static void on_server_open(void* owner) {
    tunnel_t* t = owner;
    t->phase = TUNNEL_OPEN;
    t->tunnels->stats.opened++;
    ev_timer_stop(t->tunnels->desc.loop, &t->timer);
    cw_stream_set_peer_timeout(&t->server, UPSTREAM_PEER_TIMEOUT_MS);
    send_reply(t, CW_TUNNEL_OPENED);
}

static void on_server_data(void* owner, const char* data, size_t size) {
    tunnel_t* t = owner;
    forward(t, &t->server, &t->host, data, size);
    observe(t, data, size);
}

static void on_server_drained(void* owner) {
    tunnel_t* t = owner;
    cw_stream_pause_reading(&t->host, false);
}

/* A server that can't be reached from here is known to be down only if others of its pool answered meanwhile: otherwise
   this host may be cut off itself. */
static void on_server_unreachable(tunnel_t* t) {
    const server_t* s = upstreams_server(t->tunnels->desc.upstreams, t->server_key);
    bool hears_others = s && s->pool->received_ms > t->connecting_ms;
    refuse(t, hears_others ? CW_TUNNEL_SERVER_UNREACHABLE : CW_TUNNEL_REFUSED, "no connection to the server");
}

/* Nothing is left to forward. The host closes once it has read everything; closing here could reset the connection and
   destroy what it has not read yet. */
static void finish_sending(tunnel_t* t) {
    if (cw_stream_unsent_bytes(&t->host)) {
        return;
    }
    if (t->is_framed) {
        cw_stream_shutdown_write(&t->host);
    } else {
        tunnel_free(t);
    }
}

static void close_framed(tunnel_t* t, cw_stream_end_reason_t end) {
    uint8_t last_frame[CW_TUNNEL_FRAME_HEADER];
    cw_tunnel_frame_end(last_frame, end == CW_STREAM_PEER_CLOSED ? CW_TUNNEL_END_CLOSED
                                    : end == CW_STREAM_RESET     ? CW_TUNNEL_END_RESET
                                                                 : CW_TUNNEL_END_LOST);
    cw_stream_write(&t->host, last_frame, sizeof(last_frame));
    cw_stream_flush(&t->host);
    cw_stream_pause_reading(&t->host, false);
    t->phase = TUNNEL_CLOSING;
    start_timer(t, CLOSE_TIMEOUT_MS);
    finish_sending(t);
}

static void on_server_end(void* owner, cw_stream_end_reason_t end) {
    tunnel_t* t = owner;
    if (t->phase == TUNNEL_CONNECTING) {
        on_server_unreachable(t);
    } else if (t->is_framed) {
        close_framed(t, end);
    } else if (end == CW_STREAM_PEER_CLOSED && cw_stream_unsent_bytes(&t->host)) {
        t->phase = TUNNEL_CLOSING;
    } else if (end == CW_STREAM_PEER_CLOSED) {
        tunnel_free(t);
    } else {
        cw_stream_abort(&t->host);
        tunnel_free(t);
    }
}

static const cw_stream_handlers_t server_handlers = {
    .on_open = on_server_open, .on_data = on_server_data, .on_drained = on_server_drained, .on_end = on_server_end};

/* -- the host's side ------------------------------------------------------ */

static void connect_to_server(tunnel_t* t) {
    const char* why = NULL;
    const server_t* s = find_server(t, &why);
    if (!s || t->tunnels->is_draining) {
        refuse(t, CW_TUNNEL_REFUSED, s ? "this host is stopping" : why);
        return;
    }
    t->connecting_ms = clock_ms();
    if (cw_stream_connect(&t->server, t->tunnels->desc.loop, &s->address, &server_handlers, t) != CW_OK) {
        refuse(t, CW_TUNNEL_REFUSED, "no socket");
        return;
    }
    t->phase = TUNNEL_CONNECTING;
    start_timer(t, upstreams_connect_limit_ms(s));
}

static void read_request(tunnel_t* t, const char* data, size_t size) {
    cw_msg_t msg;
    cw_buffer_add(&t->request, data, size);
    cw_status_t status =
        cw_wire_decode_single_frame(get_wire(t->tunnels), t->request.data, t->request.size, OPEN_MAX_BYTES, &msg);
    if (status == CW_ERR_FULL) {
        return;
    }
    if (status != CW_OK || msg.type != CW_MSG_TUNNEL_OPEN ||
        strcmp(msg.tunnel_open.cluster, t->tunnels->desc.cluster) != 0) {
        refuse(t, CW_TUNNEL_REFUSED, "invalid request for a tunnel");
        return;
    }
    cw_buffer_free(&t->request);
    t->server_key = msg.tunnel_open.server;
    t->is_framed = msg.tunnel_open.accepts_frames;
    connect_to_server(t);
}

static void on_host_data(void* owner, const char* data, size_t size) {
    tunnel_t* t = owner;
    if (t->phase == TUNNEL_ACCEPTED) {
        read_request(t, data, size);
    } else if (t->phase == TUNNEL_OPEN) {
        t->sent_ms = t->is_busy ? t->sent_ms : clock_ms();
        t->is_busy = true;
        forward(t, &t->host, &t->server, data, size);
    } else if (t->phase == TUNNEL_CONNECTING) {
        tunnel_free(t); /* nothing may be sent before the reply */
    }
}

static void on_host_drained(void* owner) {
    tunnel_t* t = owner;
    if (t->phase == TUNNEL_CLOSING) {
        finish_sending(t);
    } else {
        cw_stream_pause_reading(&t->server, false);
    }
}

/* The host that asked has closed: it needs no response any more, so the server's connection is closed as well. */
static void on_host_end(void* owner, cw_stream_end_reason_t end) {
    (void)end;
    tunnel_free(owner);
}

static const cw_stream_handlers_t host_handlers = {
    .on_data = on_host_data, .on_drained = on_host_drained, .on_end = on_host_end};

static void on_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    tunnel_t* t = w->data;
    if (t->phase == TUNNEL_CONNECTING) {
        cw_stream_close(&t->server);
        on_server_unreachable(t);
    } else {
        tunnel_free(t);
    }
}

static void tunnel_new(tunnels_t* all, int fd) {
    tunnel_t* t = calloc(1, sizeof(*t));
    if (!t) {
        abort();
    }
    t->tunnels = all;
    t->server.fd = -1;
    t->is_observed = true;
    cw_message_setup(&t->response, CW_MESSAGE_RESPONSE, &response_handlers, t);
    ev_timer_init(&t->timer, on_timeout, 0.0, 0.0);
    ev_set_priority(&t->timer, EV_MINPRI); /* after a stall of this process, what has arrived counts first */
    t->timer.data = t;
    t->next = all->list;
    if (all->list) {
        all->list->prev = t;
    }
    all->list = t;
    all->stats.open++;
    cw_stream_accept(&t->host, all->desc.loop, fd, &host_handlers, t);
    cw_stream_set_peer_timeout(&t->host, UPSTREAM_PEER_TIMEOUT_MS);
    start_timer(t, OPEN_TIMEOUT_MS);
}

static void on_accept(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    tunnels_t* all = w->data;
    struct sockaddr_in from;
    socklen_t size = sizeof(from);
    int fd = -1;
    while ((fd = accept4(w->fd, (struct sockaddr*)&from, &size, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        if (all->stats.open < all->desc.max_tunnels && all->desc.is_host(all->desc.user_data, &from)) {
            tunnel_new(all, fd);
        } else {
            all->stats.refused++;
            close(fd);
        }
        size = sizeof(from);
    }
}

/* -- interface ------------------------------------------------------------ */

void tunnels_drain(tunnels_t* t) {
    t->is_draining = true;
    tunnels_tick(t);
}

void tunnels_tick(tunnels_t* all) {
    tunnel_t* next = NULL;
    for (tunnel_t* t = all->list; t; t = next) {
        const char* why = NULL;
        next = t->next;
        if (t->phase == TUNNEL_OPEN && !is_in_use(t) && (all->is_draining || !find_server(t, &why))) {
            tunnel_free(t);
        }
    }
}

tunnels_stats_t tunnels_stats(const tunnels_t* all) {
    tunnels_stats_t stats = all->stats;
    stats.busy = 0;
    for (const tunnel_t* t = all->list; t; t = t->next) {
        stats.busy += is_in_use(t);
    }
    return stats;
}

tunnels_t* tunnels_setup(const tunnels_desc_t* desc, cw_error_t* err) {
    char bound[CW_ADDR_TEXT_SIZE];
    tunnels_t* t = calloc(1, sizeof(*t));
    if (!t) {
        abort();
    }
    t->desc = *desc;
    t->listen_fd = cw_addr_listen(desc->address, bound, err);
    if (t->listen_fd < 0) {
        free(t);
        return NULL;
    }
    ev_io_init(&t->accept_io, on_accept, t->listen_fd, EV_READ);
    t->accept_io.data = t;
    ev_io_start(desc->loop, &t->accept_io);
    return t;
}

void tunnels_shutdown(tunnels_t* t) {
    tunnel_t* next = NULL;
    for (tunnel_t* open = t->list; open; open = next) {
        next = open->next;
        tunnel_free(open);
    }
    ev_io_stop(t->desc.loop, &t->accept_io);
    close(t->listen_fd);
    if (t->wire) {
        cw_wire_shutdown(t->wire);
    }
    free(t);
}
