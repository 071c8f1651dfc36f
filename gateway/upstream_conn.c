/* Connections to one server, and the responses that they receive. */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "upstream_internal.h"

/* Read and skipped while a response is awaited: interim heads, and responses to earlier requests. */
#define SKIPPED_RESPONSES_MAX 16
#define SKIPPED_BYTES_MAX (1U << 20)
#define MS_PER_S 1000.0
#define CONNECT_TIMEOUT_MIN_MS 100.0 /* shortest timeout for connecting */
#define CONNECT_TIMEOUT_MAX_MS 1000.0
#define CONNECT_TIMEOUT_FACTOR 10.0   /* timeout, as a multiple of the average time to connect */
#define CONNECT_EWMA_WEIGHT 0.1       /* weight of a new sample in that average */
#define IDLE_TIMEOUT_DEFAULT_MS 15000 /* if the server does not send Keep-Alive: timeout */
#define IDLE_MARGIN_MS 1000           /* idle connections are closed this long before the server would */
#define ONCE_IDLE_SHARE 0.5 /* share of the idle timeout in which at-most-once requests may use a connection */
#define CONNS_MIN 2         /* connections to one server that every daemon may open */
/* Data on an older connection proves a server alive only if it arrives this long after the presumed crash. Data that
   arrives earlier may have been in flight, or retransmitted by the server's kernel. */
#define ALIVE_DELAY_MS 300

static void conn_opened(upstream_conn_t* conn);
static void handle_connect_failure(upstream_conn_t* conn);

/* -- lifetime of a connection --------------------------------------------- */

/* Informs the balancer, which prefers servers with an idle connection. */
static void update_idle(server_t* s) {
    cw_balance_set_idle_connection(s->pool->balance, s->key, s->idle_conns != NULL);
    if (s->idle_conns) {
        server_watch(s);
    }
}

static void remove_idle(upstream_conn_t* conn) {
    upstream_conn_t** at = &conn->server->idle_conns;
    while (*at && *at != conn) {
        at = &(*at)->next_conn;
    }
    *at = *at ? conn->next_conn : NULL;
    update_idle(conn->server);
}

/* Counts connections that owe a response. */
static void set_busy(upstream_conn_t* conn, bool is_busy) {
    server_t* s = conn->server;
    if (conn->is_busy == is_busy) {
        return;
    }
    conn->is_busy = is_busy;
    s->busy_conns += is_busy ? 1U : -1U;
    s->pool->busy_conns += is_busy ? 1U : -1U;
    if (is_busy && s->busy_conns == 1) {
        s->busy_since_ms = clock_ms();
    }
    if (is_busy && s->pool->busy_conns == 1) {
        s->pool->busy_since_ms = s->busy_since_ms;
    }
}

static void conn_free(upstream_conn_t* conn) {
    server_t* s = conn->server;
    upstreams_t* u = s->pool->upstreams;
    cw_stream_close(&conn->stream);
    ev_timer_stop(u->desc.loop, &conn->connect_timer);
    set_busy(conn, false);
    upstream_continuity_on_closed(conn);
    cw_buffer_free(&conn->path.reply);
    s->conn_count--;
    u->conn_total--;
    conn->owner = NULL;
    conn->is_closed = true;
    conn->next_conn = u->closed_conns;
    u->closed_conns = conn;
}

void upstream_conn_free_closed(upstreams_t* u) {
    upstream_conn_t* next = NULL;
    for (upstream_conn_t* conn = u->closed_conns; conn; conn = next) {
        next = conn->next_conn;
        cw_message_shutdown(&conn->response);
        free(conn->request_id);
        free(conn);
    }
    u->closed_conns = NULL;
}

void upstream_conn_close(upstream_conn_t* conn) {
    if (!conn->owner) {
        remove_idle(conn);
    }
    conn_free(conn);
}

static void conn_break(upstream_conn_t* conn, upstream_conn_failure_t failure) {
    const upstream_conn_handlers_t* handlers = conn->handlers;
    void* owner = conn->owner;
    upstream_conn_close(conn);
    if (owner) {
        handlers->on_broken(owner, failure);
    }
}

/* -- responses ------------------------------------------------------------ */

/* A response without an id may be a surplus one to an earlier request, if the connection has carried any. */
static bool is_for_other_request(const upstream_conn_t* conn) {
    const char* id = cw_message_field(&conn->response, conn->server->pool->upstreams->desc.dialect->fields.request_id);
    return id ? strcmp(id, conn->request_id) != 0 : conn->has_responded;
}

static uint32_t read_keep_alive_ms(const cw_message_t* m) {
    const char* keep_alive_field = cw_message_field(m, "Keep-Alive");
    const char* timeout = keep_alive_field ? strstr(keep_alive_field, "timeout=") : NULL;
    unsigned long s = timeout ? strtoul(timeout + strlen("timeout="), NULL, 10) : 0;
    return s && s < 86400 ? (uint32_t)(s * 1000) : 0;
}

static void on_head(void* owner) {
    upstream_conn_t* conn = owner;
    uint32_t idle_timeout_ms = read_keep_alive_ms(&conn->response);
    conn->idle_timeout_ms = idle_timeout_ms ? idle_timeout_ms : conn->idle_timeout_ms;
    conn->server->idle_timeout_ms = idle_timeout_ms ? idle_timeout_ms : conn->server->idle_timeout_ms;
    conn->must_close =
        conn->must_close || !conn->response.keep_alive || conn->response.framing == CW_FRAMING_UNTIL_CLOSE;
    bool is_other = is_for_other_request(conn);
    server_read_pushback(conn->server, &conn->response, is_other ? conn->opened_ms : conn->sent_ms);
    conn->is_skipping = conn->response.status / 100 == 1 || is_other;
    if (!conn->is_skipping && conn->owner) {
        conn->handlers->on_head(conn->owner, &conn->response);
    } else if (conn->response.status / 100 != 1) {
        conn->must_close = true;
    }
}

static void on_body(void* owner, const char* data, size_t size) {
    upstream_conn_t* conn = owner;
    if (!conn->is_skipping && conn->owner) {
        conn->handlers->on_body(conn->owner, data, size);
    }
}

static const cw_message_handlers_t response_handlers = {.on_head = on_head, .on_body = on_body};

/* Whether the server sends more beside the response than the interim heads and late responses that occur. */
static bool is_skipping_too_much(const upstream_conn_t* conn) {
    return conn->skipped_responses > SKIPPED_RESPONSES_MAX || conn->skipped_bytes > SKIPPED_BYTES_MAX;
}

/* Handles the end of a response. True: another response is to be read. */
static bool handle_response_end(upstream_conn_t* conn, size_t unread_bytes) {
    if (conn->is_skipping) {
        conn->is_skipping = false;
        conn->skipped_responses++;
        cw_message_reset(&conn->response);
        return true;
    }
    conn->must_close = conn->must_close || unread_bytes > 0 || cw_stream_unsent_bytes(&conn->stream) > 0;
    conn->handlers->on_complete(conn->owner);
    return false;
}

/* -- the socket ----------------------------------------------------------- */

/* Parses responses until the data is consumed or the owner has released the connection. */
static void read_responses(upstream_conn_t* conn, const char* data, size_t size) {
    while (size && !conn->is_closed) {
        size_t used = cw_message_parse(&conn->response, data, size);
        if (conn->is_closed) {
            return;
        }
        conn->skipped_bytes += conn->is_skipping ? used : 0;
        if (conn->response.state == CW_MESSAGE_MALFORMED || is_skipping_too_much(conn)) {
            conn_break(conn, UPSTREAM_CONN_MALFORMED);
            return;
        }
        data += used;
        size -= used;
        if (conn->response.state == CW_MESSAGE_COMPLETE && !handle_response_end(conn, size)) {
            return;
        }
    }
}

/* Reports a server alive that was presumed crashed. */
static void report_alive(const upstream_conn_t* conn) {
    server_t* s = conn->server;
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    bool proves_alive = conn->opened_ms < s->presumed_crash_ms && clock_ms() - s->presumed_crash_ms >= ALIVE_DELAY_MS;
    if (proves_alive && desc->on_server_alive) {
        s->presumed_crash_ms = 0;
        desc->on_server_alive(desc->user_data, s);
    }
}

/* The connection could be opened in no way. A check of the direct path says nothing about the server. */
static void break_unreachable(upstream_conn_t* conn) {
    if (!conn->path.is_direct_only) {
        upstream_continuity_on_refused(conn->server);
    }
    conn_break(conn, UPSTREAM_CONN_UNREACHABLE);
}

/* Handles the reply of a host that was asked for a tunnel. */
static void handle_tunnel_reply(upstream_conn_t* conn, const char* data, size_t size) {
    cw_tunnel_result_t result = CW_TUNNEL_REFUSED;
    if (!upstream_path_read_reply(conn, data, size, &result)) {
        return;
    }
    if (result == CW_TUNNEL_OPENED) {
        conn_opened(conn);
    } else if (result == CW_TUNNEL_SERVER_UNREACHABLE) {
        break_unreachable(conn);
    } else {
        handle_connect_failure(conn);
    }
}

static void handle_server_data(upstream_conn_t* conn, const char* data, size_t size) {
    server_t* s = conn->server;
    conn->received_ms = s->received_ms = s->pool->received_ms = clock_ms();
    conn->heard_ms = conn->arrived_ms;
    if (!upstream_conn_is_doubted(conn)) {
        s->heard_ms = conn->heard_ms > s->heard_ms ? conn->heard_ms : s->heard_ms;
    }
    if (s->presumed_crash_ms) {
        report_alive(conn);
    }
    upstream_continuity_on_data(conn);
    if (!conn->owner || !conn->is_request_sent) {
        conn_break(conn, UPSTREAM_CONN_MALFORMED); /* unsolicited data */
        return;
    }
    read_responses(conn, data, size);
}

/* Whether the connection may end although the server runs on: it has been idle for as long as the server announces, or
   the network path is broken. */
static bool is_end_expected(const upstream_conn_t* conn, cw_stream_end_reason_t end) {
    bool was_idle_long = !conn->owner && clock_ms() - conn->idle_since_ms >= conn->idle_timeout_ms - IDLE_MARGIN_MS;
    return was_idle_long || (end == CW_STREAM_CONN_LOST && upstream_path_prefers_tunnel(conn->server));
}

/* The server's connection has ended. shows_end: a close by the server can't be mistaken for one by somebody else. */
static void handle_server_end(upstream_conn_t* conn, cw_stream_end_reason_t end, bool shows_end) {
    bool is_closed = end == CW_STREAM_PEER_CLOSED && shows_end;
    if (conn->owner && is_closed && conn->is_request_sent && !conn->is_skipping) {
        cw_message_on_close(&conn->response);
        if (conn->response.state == CW_MESSAGE_COMPLETE) {
            conn->must_close = true;
            conn->handlers->on_complete(conn->owner);
            return;
        }
    }
    if (!is_end_expected(conn, end)) {
        upstream_continuity_on_end(conn, end);
    }
    upstream_conn_failure_t failure = end == CW_STREAM_RESET       ? UPSTREAM_CONN_RESET
                                      : end == CW_STREAM_CONN_LOST ? UPSTREAM_CONN_LOST
                                                                   : UPSTREAM_CONN_CLOSED;
    conn_break(conn, failure);
}

/* Passes on what the server sent, until the connection is closed. */
static void read_frames(upstream_conn_t* conn, const char* data, size_t size) {
    static const cw_stream_end_reason_t ends[] = {[CW_TUNNEL_END_CLOSED] = CW_STREAM_PEER_CLOSED,
                                                  [CW_TUNNEL_END_RESET] = CW_STREAM_RESET,
                                                  [CW_TUNNEL_END_LOST] = CW_STREAM_CONN_LOST};
    cw_tunnel_frames_t* frames = &conn->path.frames;
    while (size && !conn->is_closed && !frames->end) {
        cw_bytes_view_t bytes;
        size_t used = cw_tunnel_frames_read(frames, data, size, &bytes);
        data += used;
        size -= used;
        if (bytes.size) {
            handle_server_data(conn, bytes.data, bytes.size);
        }
    }
    if (!conn->is_closed && frames->end) {
        handle_server_end(conn, ends[frames->end], true);
    }
}

/* Determines when what has just been read arrived at the earliest. */
static void note_read(upstream_conn_t* conn) {
    const upstreams_t* u = conn->server->pool->upstreams;
    conn->arrived_ms = conn->has_unread ? conn->arrived_ms : poll_time_before_ms(&u->poll_time);
    conn->has_unread = conn->stream.may_have_more;
}

static void on_data(void* owner, const char* data, size_t size) {
    upstream_conn_t* conn = owner;
    note_read(conn);
    if (conn->path.phase == CONN_TUNNEL_OPENING) {
        handle_tunnel_reply(conn, data, size);
    } else if (conn->path.is_framed) {
        read_frames(conn, data, size);
    } else {
        handle_server_data(conn, data, size);
    }
}

static void on_end(void* owner, cw_stream_end_reason_t end) {
    upstream_conn_t* conn = owner;
    note_read(conn);
    if (conn->path.phase != CONN_OPEN) {
        handle_connect_failure(conn);
    } else if (conn->path.is_framed) {
        if (conn->owner) {
            upstream_path_tunnel_failed(conn);
        }
        conn_break(conn, UPSTREAM_CONN_TUNNEL_BROKEN);
    } else {
        handle_server_end(conn, end, !conn->path.is_tunneled);
    }
}

static void add_idle(upstream_conn_t* conn) {
    conn->idle_since_ms = clock_ms();
    conn->next_conn = conn->server->idle_conns;
    conn->server->idle_conns = conn;
    update_idle(conn->server);
}

static void conn_opened(upstream_conn_t* conn) {
    server_t* s = conn->server;
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    bool is_spare = !conn->owner;
    conn->path.phase = CONN_OPEN;
    s->pool->opened_ms = clock_ms();
    ev_timer_stop(desc->loop, &conn->connect_timer);
    cw_stream_set_peer_timeout(&conn->stream, UPSTREAM_PEER_TIMEOUT_MS);
    upstream_continuity_on_opened(conn);
    if (is_spare) {
        add_idle(conn);
    }
    upstream_path_on_open(conn);
    if (is_spare) {
        desc->on_slot_free(desc->user_data, s->pool);
    } else {
        conn->handlers->on_open(conn->owner);
    }
}

static void on_open(void* owner) {
    upstream_conn_t* conn = owner;
    server_t* s = conn->server;
    if (conn->path.phase == CONN_TUNNEL_CONNECTING) {
        upstream_path_request_tunnel(conn);
        return;
    }
    double took_ms = (double)(clock_ms() - conn->opened_ms);
    s->connect_ms = s->connect_ms > 0 ? s->connect_ms + CONNECT_EWMA_WEIGHT * (took_ms - s->connect_ms) : took_ms;
    conn_opened(conn);
}

static const cw_stream_handlers_t stream_handlers = {.on_open = on_open, .on_data = on_data, .on_end = on_end};

/* The connection could not be opened in this way: tries the next one. */
static void handle_connect_failure(upstream_conn_t* conn) {
    if (conn->path.is_tunneled) {
        upstream_path_tunnel_failed(conn);
    } else {
        conn->path.has_direct_failed = true;
    }
    ev_timer_stop(conn->server->pool->upstreams->desc.loop, &conn->connect_timer);
    cw_stream_close(&conn->stream);
    if (!upstream_path_start_tunnel(conn) && !upstream_path_start_direct(conn)) {
        break_unreachable(conn);
    }
}

static void on_connect_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    upstream_conn_t* conn = w->data;
    conn->path.was_silent = conn->path.was_silent || !conn->path.is_tunneled;
    handle_connect_failure(conn);
}

double upstreams_connect_limit_ms(const server_t* s) {
    double limit = s->connect_ms * CONNECT_TIMEOUT_FACTOR;
    limit = limit < CONNECT_TIMEOUT_MIN_MS ? CONNECT_TIMEOUT_MIN_MS : limit;
    return limit > CONNECT_TIMEOUT_MAX_MS ? CONNECT_TIMEOUT_MAX_MS : limit;
}

bool upstream_conn_connect(upstream_conn_t* conn, const struct sockaddr_in* address) {
    server_t* s = conn->server;
    upstreams_t* u = s->pool->upstreams;
    bool is_direct = address == &s->address;
    /* A tunnel takes a connection to its host and one from there to the server. */
    double limit_ms =
        is_direct ? upstreams_connect_limit_ms(s) : upstreams_connect_limit_ms(s) + CONNECT_TIMEOUT_MIN_MS;
    if (cw_stream_connect_from(&conn->stream, u->desc.loop, is_direct ? NULL : &u->desc.tunnel_source, address,
                               &stream_handlers, conn) != CW_OK) {
        return false;
    }
    ev_timer_set(&conn->connect_timer, limit_ms / MS_PER_S, 0.0);
    ev_timer_start(u->desc.loop, &conn->connect_timer);
    return true;
}

static upstream_conn_t* conn_new(server_t* s, const upstream_conn_handlers_t* handlers, void* owner,
                                 bool is_direct_only) {
    upstreams_t* u = s->pool->upstreams;
    upstream_conn_t* conn = calloc(1, sizeof(*conn));
    if (!conn) {
        abort();
    }
    conn->server = s;
    conn->handlers = handlers;
    conn->owner = owner;
    conn->opened_ms = clock_ms();
    conn->idle_timeout_ms = s->idle_timeout_ms ? s->idle_timeout_ms : IDLE_TIMEOUT_DEFAULT_MS;
    conn->path.is_direct_only = is_direct_only;
    ev_timer_init(&conn->connect_timer, on_connect_timeout, 0.0, 0.0);
    ev_set_priority(&conn->connect_timer, EV_MINPRI); /* after a stall of this process, what has arrived counts first */
    conn->connect_timer.data = conn;
    bool prefers_tunnel = !is_direct_only && upstream_path_prefers_tunnel(s);
    if (!(prefers_tunnel && upstream_path_start_tunnel(conn)) && !upstream_conn_connect(conn, &s->address)) {
        free(conn);
        return NULL;
    }
    cw_message_setup(&conn->response, CW_MESSAGE_RESPONSE, &response_handlers, conn);
    s->conn_count++;
    u->conn_total++;
    u->conns_opened++;
    return conn;
}

/* This daemon's share of the connections that the server accepts. */
static uint32_t conn_limit(const server_t* s) {
    uint32_t connections = s->pool->connections;
    if (!connections) {
        return UINT32_MAX;
    }
    uint32_t share = connections / (s->pool->upstreams->daemons ? s->pool->upstreams->daemons : 1);
    return share > CONNS_MIN ? share : CONNS_MIN;
}

static uint32_t idle_limit_ms(const upstream_conn_t* conn, bool at_most_once) {
    if (at_most_once) {
        return (uint32_t)(conn->idle_timeout_ms * ONCE_IDLE_SHARE);
    }
    return conn->idle_timeout_ms > 2 * IDLE_MARGIN_MS ? conn->idle_timeout_ms - IDLE_MARGIN_MS
                                                      : conn->idle_timeout_ms / 2;
}

upstream_conn_t* upstream_conn_acquire(server_t* s, const upstream_conn_handlers_t* handlers, void* owner,
                                       bool at_most_once) {
    upstreams_t* u = s->pool->upstreams;
    upstream_conn_t* conn = s->idle_conns;
    if (conn && clock_ms() - conn->idle_since_ms <= idle_limit_ms(conn, at_most_once)) {
        s->idle_conns = conn->next_conn;
        update_idle(s);
        conn->handlers = handlers;
        conn->owner = owner;
        conn->is_request_sent = false;
        return conn;
    }
    if (conn && s->conn_count >= conn_limit(s)) {
        upstream_conn_close(conn); /* idle for too long; it would count against the limit */
    }
    if (s->conn_count >= conn_limit(s) || u->conn_total >= u->desc.max_conns) {
        return NULL;
    }
    return conn_new(s, handlers, owner, false);
}

bool upstream_conn_is_open(const upstream_conn_t* conn) {
    return conn->path.phase == CONN_OPEN;
}

bool upstream_conn_is_tunneled(const upstream_conn_t* conn) {
    return conn->path.is_tunneled;
}

int64_t upstream_conn_received_ms(const upstream_conn_t* conn) {
    return conn->received_ms;
}

static void set_request_id(upstream_conn_t* conn, const char* request_id) {
    free(conn->request_id);
    conn->request_id = strdup(request_id);
    if (!conn->request_id) {
        abort();
    }
}

void upstream_conn_send(upstream_conn_t* conn, const char* request_id, bool is_bodiless, const cw_buffer_t* head,
                        const void* body, size_t size) {
    set_request_id(conn, request_id);
    cw_message_reset(&conn->response);
    conn->response.is_bodiless = is_bodiless;
    conn->is_request_sent = true;
    set_busy(conn, true);
    conn->sent_ms = clock_ms();
    conn->skipped_responses = 0;
    conn->skipped_bytes = 0;
    cw_stream_write(&conn->stream, head->data, head->size);
    cw_stream_write(&conn->stream, body, size);
    cw_stream_flush(&conn->stream);
}

void upstream_conn_pause(upstream_conn_t* conn, bool is_paused) {
    if (is_paused && !conn->has_unread) {
        conn->arrived_ms = poll_time_before_ms(&conn->server->pool->upstreams->poll_time);
        conn->has_unread = true;
    }
    cw_stream_pause_reading(&conn->stream, is_paused);
}

void upstream_conn_release(upstream_conn_t* conn) {
    set_busy(conn, false);
    bool is_detour = conn->path.is_tunneled && !upstream_path_prefers_tunnel(conn->server);
    if (conn->must_close || conn->server->is_removed || conn->stream.fd < 0 || is_detour) {
        upstream_conn_close(conn);
        return;
    }
    cw_message_reset(&conn->response);
    conn->owner = NULL;
    conn->has_responded = true;
    upstream_conn_pause(conn, false); /* the owner may have paused it for a slow caller */
    add_idle(conn);
}

/* -- idle connections ----------------------------------------------------- */

static bool is_expired(const upstream_conn_t* conn, int64_t now_ms) {
    return now_ms - conn->idle_since_ms > idle_limit_ms(conn, false);
}

static bool is_direct(const upstream_conn_t* conn, int64_t now_ms) {
    (void)now_ms;
    return !conn->path.is_tunneled;
}

/* Closes the idle connections that match; NULL: all. */
static void close_matching(server_t* s, int64_t now_ms, bool (*matches)(const upstream_conn_t* conn, int64_t now_ms)) {
    for (upstream_conn_t** at = &s->idle_conns; *at;) {
        upstream_conn_t* conn = *at;
        if (!matches || matches(conn, now_ms)) {
            *at = conn->next_conn;
            conn_free(conn);
        } else {
            at = &conn->next_conn;
        }
    }
    update_idle(s);
}

void upstream_conn_close_idle(server_t* s, int64_t now_ms, bool closes_all) {
    close_matching(s, now_ms, closes_all ? NULL : is_expired);
}

void upstream_conn_close_idle_direct(server_t* s) {
    close_matching(s, 0, is_direct);
}

void upstream_conn_open_spare(server_t* s, bool is_direct_only) {
    if (s->conn_count < conn_limit(s) && s->pool->upstreams->conn_total < s->pool->upstreams->desc.max_conns) {
        conn_new(s, NULL, NULL, is_direct_only);
    }
}
