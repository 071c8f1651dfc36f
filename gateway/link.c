/* Connections to one server, and the answers that come over them. */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "upstream_parts.h"

#define MS_PER_S 1000.0
#define CONNECT_TIMEOUT_MIN_MS 100.0 /* a connection gets at least so long to come up */
#define CONNECT_TIMEOUT_MAX_MS 1000.0
#define CONNECT_TIMEOUT_FACTOR 10.0   /* times the usual time */
#define CONNECT_EWMA_WEIGHT 0.1       /* weight of a new sample */
#define PEER_TIMEOUT_MS 3000          /* a server that acknowledges nothing for so long is gone */
#define IDLE_TIMEOUT_DEFAULT_MS 15000 /* a connection whose server does not say how long it keeps it */
#define IDLE_MARGIN_MS 1000           /* closed so long before the server would */
#define ONCE_IDLE_SHARE 0.5           /* of that time: longer rested ones get no request that may not be sent twice */
#define CONNS_MIN 2                   /* connections to one server that every daemon may have */
/* What comes over an older connection so long after a server was taken for ended proves that it lives: what it had sent
   before may be under way, or be sent again by its machine, for less. */
#define ALIVE_DELAY_MS 300

/* -- links: life ---------------------------------------------------------- */

/* The choice of a server prefers those with a connection at rest. */
static void update_idle(server_t* s) {
    cw_balance_warm(s->pool->balance, s->key, s->idle_conns != NULL);
    if (s->idle_conns) {
        server_watch(s);
    }
}

static void remove_idle(upstream_conn_t* l) {
    upstream_conn_t** at = &l->server->idle_conns;
    while (*at && *at != l) {
        at = &(*at)->next_conn;
    }
    *at = *at ? l->next_conn : NULL;
    update_idle(l->server);
}

static void conn_free(upstream_conn_t* l) {
    server_t* s = l->server;
    upstreams_t* u = s->pool->upstreams;
    cw_stream_close(&l->stream);
    ev_timer_stop(u->desc.loop, &l->connect_timer);
    s->open--;
    u->conn_total--;
    l->owner = NULL;
    l->closed = true;
    l->next_conn = u->closed;
    u->closed = l;
}

void upstream_conn_free_closed(upstreams_t* u) {
    upstream_conn_t* next = NULL;
    for (upstream_conn_t* l = u->closed; l; l = next) {
        next = l->next_conn;
        cw_message_shutdown(&l->response);
        free(l);
    }
    u->closed = NULL;
}

void upstream_conn_close(upstream_conn_t* l) {
    if (!l->owner) {
        remove_idle(l);
    }
    conn_free(l);
}

static void conn_break(upstream_conn_t* l, upstream_conn_failure_t failure) {
    const upstream_conn_handlers_t* handlers = l->handlers;
    void* owner = l->owner;
    upstream_conn_close(l);
    if (owner) {
        handlers->on_broken(owner, failure);
    }
}

/* -- links: answers ------------------------------------------------------- */

static bool is_for_other_request(const upstream_conn_t* l) {
    const char* id = cw_message_field(&l->response, l->server->pool->upstreams->desc.dialect->fields.request_id);
    return id && strcmp(id, l->request_id) != 0;
}

static uint32_t read_keep_alive_ms(const cw_message_t* m) {
    const char* keep = cw_message_field(m, "Keep-Alive");
    const char* timeout = keep ? strstr(keep, "timeout=") : NULL;
    unsigned long s = timeout ? strtoul(timeout + strlen("timeout="), NULL, 10) : 0;
    return s && s < 86400 ? (uint32_t)(s * 1000) : 0;
}

static void on_head(void* owner) {
    upstream_conn_t* l = owner;
    uint32_t idle_timeout_ms = read_keep_alive_ms(&l->response);
    l->idle_timeout_ms = idle_timeout_ms ? idle_timeout_ms : l->idle_timeout_ms;
    l->must_close = l->must_close || !l->response.keep_alive || l->response.framing == CW_FRAMING_CLOSE;
    bool other = is_for_other_request(l);
    server_read_pushback(l->server, &l->response, other ? l->opened_ms : l->sent_ms);
    l->is_skipping = l->response.status / 100 == 1 || other;
    if (!l->is_skipping && l->owner) {
        l->handlers->on_head(l->owner, &l->response);
    } else if (l->response.status / 100 != 1) {
        l->must_close = true;
    }
}

static void on_body(void* owner, const char* data, size_t size) {
    upstream_conn_t* l = owner;
    if (!l->is_skipping && l->owner) {
        l->handlers->on_body(l->owner, data, size);
    }
}

static const cw_message_handlers_t response_handlers = {.on_head = on_head, .on_body = on_body};

/* The answer's end: true when more answers are to be read. */
static bool handle_response_end(upstream_conn_t* l, size_t left) {
    if (l->is_skipping) {
        l->is_skipping = false;
        cw_message_reset(&l->response);
        return true;
    }
    l->must_close = l->must_close || left > 0 || cw_stream_unsent(&l->stream) > 0;
    l->handlers->on_complete(l->owner);
    return false;
}

/* -- links: the socket ---------------------------------------------------- */

/* Reads answers until the bytes are used up or the owner is done with the link. */
static void read_responses(upstream_conn_t* l, const char* data, size_t size) {
    while (size && !l->closed) {
        size_t used = cw_message_read(&l->response, data, size);
        if (l->closed) {
            return;
        }
        if (l->response.state == CW_MESSAGE_BROKEN) {
            conn_break(l, UPSTREAM_CONN_MALFORMED);
            return;
        }
        data += used;
        size -= used;
        if (l->response.state == CW_MESSAGE_COMPLETE && !handle_response_end(l, size)) {
            return;
        }
    }
}

/* Notices that a server goes on which was taken for ended. */
static void report_alive(const upstream_conn_t* l) {
    server_t* s = l->server;
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    bool proves_alive = l->opened_ms < s->presumed_crash_ms && clock_ms() - s->presumed_crash_ms >= ALIVE_DELAY_MS;
    if (proves_alive && desc->on_alive) {
        s->presumed_crash_ms = 0;
        desc->on_alive(desc->user_data, s);
    }
}

static void on_data(void* owner, const char* data, size_t size) {
    upstream_conn_t* l = owner;
    if (l->server->presumed_crash_ms) {
        report_alive(l);
    }
    if (!l->owner || !l->is_request_sent) {
        conn_break(l, UPSTREAM_CONN_MALFORMED); /* bytes that nobody asked for */
        return;
    }
    read_responses(l, data, size);
}

static void on_end(void* owner, cw_stream_end_t end) {
    upstream_conn_t* l = owner;
    if (l->owner && end == CW_STREAM_FINISHED && l->is_request_sent && !l->is_skipping) {
        cw_message_finish(&l->response);
        if (l->response.state == CW_MESSAGE_COMPLETE) {
            l->must_close = true;
            l->handlers->on_complete(l->owner);
            return;
        }
    }
    upstream_conn_failure_t failure = end == CW_STREAM_REFUSED ? UPSTREAM_CONN_UNREACHABLE
                                      : end == CW_STREAM_RESET ? UPSTREAM_CONN_RESET
                                      : end == CW_STREAM_LOST  ? UPSTREAM_CONN_LOST
                                                               : UPSTREAM_CONN_CLOSED;
    conn_break(l, failure);
}

static void on_open(void* owner) {
    upstream_conn_t* l = owner;
    server_t* s = l->server;
    double took_ms = (double)(clock_ms() - l->opened_ms);
    s->connect_ms = s->connect_ms > 0 ? s->connect_ms + CONNECT_EWMA_WEIGHT * (took_ms - s->connect_ms) : took_ms;
    ev_timer_stop(s->pool->upstreams->desc.loop, &l->connect_timer);
    cw_stream_watch_peer(&l->stream, PEER_TIMEOUT_MS);
    l->handlers->on_open(l->owner);
}

static const cw_stream_handlers_t stream_handlers = {.on_open = on_open, .on_data = on_data, .on_end = on_end};

static void on_connect_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    conn_break(w->data, UPSTREAM_CONN_UNREACHABLE);
}

static double connect_limit_ms(const server_t* s) {
    double limit = s->connect_ms * CONNECT_TIMEOUT_FACTOR;
    limit = limit < CONNECT_TIMEOUT_MIN_MS ? CONNECT_TIMEOUT_MIN_MS : limit;
    return limit > CONNECT_TIMEOUT_MAX_MS ? CONNECT_TIMEOUT_MAX_MS : limit;
}

static upstream_conn_t* conn_new(server_t* s, const upstream_conn_handlers_t* handlers, void* owner) {
    upstreams_t* u = s->pool->upstreams;
    upstream_conn_t* l = calloc(1, sizeof(*l));
    if (!l) {
        abort();
    }
    l->server = s;
    l->handlers = handlers;
    l->owner = owner;
    l->opened_ms = clock_ms();
    l->idle_timeout_ms = IDLE_TIMEOUT_DEFAULT_MS;
    if (cw_stream_connect(&l->stream, u->desc.loop, &s->address, &stream_handlers, l) != CW_OK) {
        free(l);
        return NULL;
    }
    cw_message_setup(&l->response, CW_MESSAGE_RESPONSE, &response_handlers, l);
    ev_timer_init(&l->connect_timer, on_connect_timeout, connect_limit_ms(s) / MS_PER_S, 0.0);
    l->connect_timer.data = l;
    ev_timer_start(u->desc.loop, &l->connect_timer);
    s->open++;
    u->conn_total++;
    u->connects++;
    return l;
}

/* This daemon's part of the connections that a server takes. */
static uint32_t conn_limit(const server_t* s) {
    uint32_t connections = s->pool->connections;
    if (!connections) {
        return UINT32_MAX;
    }
    uint32_t part = connections / (s->pool->upstreams->daemons ? s->pool->upstreams->daemons : 1);
    return part > CONNS_MIN ? part : CONNS_MIN;
}

static uint32_t idle_limit_ms(const upstream_conn_t* l, bool once) {
    if (once) {
        return (uint32_t)(l->idle_timeout_ms * ONCE_IDLE_SHARE);
    }
    return l->idle_timeout_ms > 2 * IDLE_MARGIN_MS ? l->idle_timeout_ms - IDLE_MARGIN_MS : l->idle_timeout_ms / 2;
}

upstream_conn_t* upstream_conn_acquire(server_t* s, const upstream_conn_handlers_t* handlers, void* owner, bool once) {
    upstreams_t* u = s->pool->upstreams;
    upstream_conn_t* l = s->idle_conns;
    if (l && clock_ms() - l->idle_since_ms <= idle_limit_ms(l, once)) {
        s->idle_conns = l->next_conn;
        update_idle(s);
        l->handlers = handlers;
        l->owner = owner;
        l->is_request_sent = false;
        return l;
    }
    if (l && s->open >= conn_limit(s)) {
        upstream_conn_close(l); /* too long at rest: its place is needed */
    }
    if (s->open >= conn_limit(s) || u->conn_total >= u->desc.max_links) {
        return NULL;
    }
    return conn_new(s, handlers, owner);
}

bool upstream_conn_is_open(const upstream_conn_t* l) {
    return !l->stream.connecting;
}

void upstream_conn_send(upstream_conn_t* l, const char* request_id, bool bodiless, const cw_buffer_t* head,
                        const void* body, size_t size) {
    cw_copy(l->request_id, sizeof(l->request_id), request_id);
    cw_message_reset(&l->response);
    l->response.bodiless = bodiless;
    l->is_request_sent = true;
    l->sent_ms = clock_ms();
    cw_stream_write(&l->stream, head->data, head->size);
    cw_stream_write(&l->stream, body, size);
    cw_stream_flush(&l->stream);
}

void upstream_conn_pause(upstream_conn_t* l, bool paused) {
    cw_stream_pause(&l->stream, paused);
}

void upstream_conn_release(upstream_conn_t* l) {
    if (l->must_close || l->server->gone || l->stream.fd < 0) {
        upstream_conn_close(l);
        return;
    }
    cw_message_reset(&l->response);
    l->owner = NULL;
    l->idle_since_ms = clock_ms();
    l->next_conn = l->server->idle_conns;
    l->server->idle_conns = l;
    update_idle(l->server);
}

/* -- at rest -------------------------------------------------------------- */

void upstream_conn_close_idle(server_t* s, int64_t now_ms, bool all) {
    for (upstream_conn_t** at = &s->idle_conns; *at;) {
        upstream_conn_t* l = *at;
        if (all || now_ms - l->idle_since_ms > idle_limit_ms(l, false)) {
            *at = l->next_conn;
            conn_free(l);
        } else {
            at = &l->next_conn;
        }
    }
    update_idle(s);
}
