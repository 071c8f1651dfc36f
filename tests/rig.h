#ifndef CW_TEST_RIG_H
#define CW_TEST_RIG_H
/*
    Test rig: the gateway's data path with one caller and scripted servers, all in one event loop. Each request that
    arrives at any server takes the next step of the script. All ports are assigned by the kernel.
*/
#include <ev.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../gateway/clock.h"
#include "../gateway/exchange.h"
#include "../io/address.h"
#include "test.h"

#define RIG_SERVERS 8
#define RIG_STEPS 16
#define RIG_TIMEOUT_S 5.0 /* a test that waits longer fails */

typedef enum rig_action_t {
    RIG_RESPOND = 0,     /* send text, keep the connection open */
    RIG_RESPOND_CLOSE,   /* send text, then close the connection */
    RIG_RESPOND_RESET,   /* send text, then reset the connection */
    RIG_RESPOND_ENDLESS, /* send text, then its end again and again until the connection is closed */
    RIG_NO_RESPONSE      /* send nothing */
} rig_action_t;

/* What a server does with one request. "@ID@" in text is replaced by the request's id. */
#define RIG_REPEAT "@REPEAT@" /* in the text of RIG_RESPOND_ENDLESS: what follows is sent again and again */
#define RIG_SILENT_MS(ms) "@SILENT@" #ms "@" /* in text: what follows is sent after so many milliseconds */
typedef struct rig_step_t {
    rig_action_t action;
    const char* text;
} rig_step_t;

typedef struct rig_t rig_t;

typedef struct rig_conn_t {
    rig_t* rig;
    uint32_t server;
    cw_stream_t stream;
    cw_buffer_t in;
    bool is_open;
    char* repeat; /* sent again and again; NULL: nothing */
    char* later;  /* sent when later_timer fires */
    ev_timer later_timer;
} rig_conn_t;

struct rig_t {
    struct ev_loop* loop;
    cw_log_t log;
    upstreams_t* upstreams;
    quarantine_t* quarantine;
    uint32_t observations_published;
    streams_t* streams;
    exchanges_t* exchanges;
    frontend_t* front;
    cw_catalog_t* catalog;
    int64_t list_age_ms;               /* as known to the host */
    const char* versions[RIG_SERVERS]; /* of the servers' software; NULL: unknown */
    uint32_t leaving_count;            /* the next servers chosen announce leaving before they are connected */
    uint32_t liveness_reports;         /* calls of on_liveness_changed */
    /* The host through which servers are reached when no connection to them can be opened; NULL: none. */
    const cw_member_info_t* (*choose_tunnel_host)(rig_t* r, const pool_t* pool);
    char tunnel_host[CW_ADDR_TEXT_SIZE]; /* peer address of the host of rig_restore_paths */
    int listen_fds[RIG_SERVERS];
    ev_io accept_ios[RIG_SERVERS];
    char addresses[RIG_SERVERS][CW_ADDR_TEXT_SIZE];
    rig_conn_t conns[64];
    uint32_t conn_count;
    rig_step_t steps[RIG_STEPS];
    uint32_t step_count, next_step;
    char arrivals[RIG_STEPS][4096]; /* requests as received, heads and bodies */
    uint32_t arrival_server[RIG_STEPS];
    int64_t arrival_ms[RIG_STEPS];
    uint32_t arrival_count;
    uint64_t endless_bytes; /* sent by RIG_RESPOND_ENDLESS */
    ev_timer endless_timer;
    uint32_t closed_by_gateway; /* connections with a request that the gateway closed */
    cw_stream_t caller;
    cw_buffer_t response;
    bool is_caller_open;
    bool stop_on_response; /* leave the event loop when the response is complete */
    ev_timer timeout_timer, tick;
};

static inline void rig_ignore_line(const char* line, void* user) {
    (void)user;
    if (getenv("RIG_LOG")) {
        fprintf(stderr, "%s\n", line);
    }
}

/* -- scripted servers ----------------------------------------------------- */

#define RIG_ENDLESS_INTERVAL_S 0.001
#define RIG_ENDLESS_UNSENT_MAX 65536

/* Goes on with the endless responses, as fast as they are read. */
static inline void rig_on_endless(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    rig_t* r = w->data;
    for (uint32_t i = 0; i < r->conn_count; i++) {
        rig_conn_t* c = &r->conns[i];
        while (c->is_open && c->repeat && cw_stream_unsent_bytes(&c->stream) < RIG_ENDLESS_UNSENT_MAX) {
            cw_stream_write(&c->stream, c->repeat, strlen(c->repeat));
            r->endless_bytes += strlen(c->repeat);
        }
        if (c->is_open && c->repeat) {
            cw_stream_flush(&c->stream);
        }
    }
}

/* The text with the request's id. The caller frees it. */
static inline char* rig_expand(const char* text, const char* request) {
    char id[4096] = "";
    const char* field = strcasestr(request, "Chalkway-Request-Id: ");
    if (field) {
        field += strlen("Chalkway-Request-Id: ");
        size_t n = strcspn(field, "\r\n");
        ck_assert_uint_lt(n, sizeof(id));
        memcpy(id, field, n);
        id[n] = 0;
    }
    cw_buffer_t out = {0};
    for (const char* at = text ? text : ""; *at;) {
        if (strncmp(at, "@ID@", 4) == 0) {
            cw_buffer_add(&out, id, strlen(id));
            at += 4;
        } else {
            cw_buffer_add(&out, at++, 1);
        }
    }
    char* expanded = strdup(out.size ? cw_buffer_text(&out) : "");
    cw_buffer_free(&out);
    return expanded;
}

/* Sends the text up to the first RIG_SILENT_MS, and the rest later. Takes ownership of the text. */
static inline void rig_send_text(rig_conn_t* c, char* text) {
    char* silence = strstr(text, "@SILENT@");
    if (silence) {
        char* rest = NULL;
        double seconds = (double)strtoul(silence + strlen("@SILENT@"), &rest, 10) / 1000.0;
        c->later = strdup(rest + 1);
        *silence = 0;
        ev_timer_set(&c->later_timer, seconds, 0.0);
        ev_timer_start(c->rig->loop, &c->later_timer);
    }
    cw_stream_write(&c->stream, text, strlen(text));
    cw_stream_flush(&c->stream);
    free(text);
}

static inline void rig_on_later(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    rig_conn_t* c = w->data;
    char* text = c->later;
    c->later = NULL;
    if (c->is_open) {
        rig_send_text(c, text);
    } else {
        free(text);
    }
}

static inline void rig_send_step(rig_conn_t* c, const rig_step_t* step, const char* request) {
    char* text = rig_expand(step->text, request);
    char* repeat = step->action == RIG_RESPOND_ENDLESS ? strstr(text, RIG_REPEAT) : NULL;
    if (repeat) {
        *repeat = 0;
        c->repeat = strdup(repeat + strlen(RIG_REPEAT));
        ev_timer_start(c->rig->loop, &c->rig->endless_timer);
    }
    rig_send_text(c, text);
    if (step->action == RIG_RESPOND_CLOSE) {
        c->is_open = false;
        cw_stream_close(&c->stream);
    } else if (step->action == RIG_RESPOND_RESET) {
        c->is_open = false;
        cw_stream_abort(&c->stream);
    }
}

static inline bool rig_is_request_complete(const char* text) {
    const char* end = strstr(text, "\r\n\r\n");
    if (!end) {
        return false;
    }
    const char* length = strcasestr(text, "Content-Length: ");
    if (length && length < end) {
        return strlen(end + 4) >= strtoul(length + 16, NULL, 10);
    }
    const char* chunked = strcasestr(text, "Transfer-Encoding: chunked");
    return !(chunked && chunked < end) || strstr(end, "0\r\n\r\n");
}

static inline void rig_server_data(void* owner, const char* data, size_t size) {
    rig_conn_t* c = owner;
    rig_t* r = c->rig;
    cw_buffer_add(&c->in, data, size);
    if (!rig_is_request_complete(c->in.data)) {
        return;
    }
    ck_assert_msg(r->arrival_count < RIG_STEPS && r->next_step < r->step_count,
                  "request beyond the end of the script: %s", c->in.data);
    snprintf(r->arrivals[r->arrival_count], sizeof(r->arrivals[0]), "%s", c->in.data);
    r->arrival_ms[r->arrival_count] = clock_ms();
    r->arrival_server[r->arrival_count++] = c->server;
    const rig_step_t* step = &r->steps[r->next_step++];
    rig_send_step(c, step, r->arrivals[r->arrival_count - 1]);
    cw_buffer_free(&c->in);
}

static inline void rig_server_end(void* owner, cw_stream_end_reason_t end) {
    rig_conn_t* c = owner;
    (void)end;
    c->is_open = false;
    c->rig->closed_by_gateway++;
    if (!c->rig->stop_on_response) {
        ev_break(c->rig->loop, EVBREAK_ALL);
    }
}

static const cw_stream_handlers_t rig_server_handlers = {.on_data = rig_server_data, .on_end = rig_server_end};

static inline void rig_accept(struct ev_loop* loop, ev_io* w, int events) {
    (void)events;
    rig_t* r = w->data;
    int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    rig_conn_t* c = &r->conns[r->conn_count++];
    *c = (rig_conn_t){.rig = r, .server = (uint32_t)(w - r->accept_ios), .is_open = true};
    ev_timer_init(&c->later_timer, rig_on_later, 0.0, 0.0);
    c->later_timer.data = c;
    cw_stream_accept(&c->stream, loop, fd, &rig_server_handlers, c);
}

/* -- the gateway ---------------------------------------------------------- */

static inline frontend_limits_t rig_limits(void* user) {
    const cw_catalog_t* catalog = ((rig_t*)user)->catalog;
    if (!catalog) {
        return (frontend_limits_t){
            .head_bytes = 16384, .body_bytes = 1 << 20, .head_ms = 5000, .idle_ms = 15000, .is_provisional = true};
    }
    const cw_catalog_limits_t* l = &catalog->limits;
    return (frontend_limits_t){
        .head_bytes = l->head_bytes, .body_bytes = l->body_bytes, .head_ms = l->head_ms, .idle_ms = l->idle_ms};
}

static inline void rig_on_request(caller_t* caller, void* user) {
    exchanges_on_request(((rig_t*)user)->exchanges, caller);
}

static inline void rig_on_gone(caller_t* caller, void* user) {
    exchanges_on_caller_closed(((rig_t*)user)->exchanges, caller);
}

static inline void rig_on_drained(caller_t* caller, void* user) {
    exchanges_on_drained(((rig_t*)user)->exchanges, caller);
}

static inline void rig_on_slot_free(void* user, pool_t* pool) {
    exchanges_on_slot_free(((rig_t*)user)->exchanges, pool);
}

static inline void rig_on_load_changed(void* user, const server_t* server, const cw_work_t* work) {
    rig_t* r = user;
    if (work && r->leaving_count) {
        r->leaving_count--;
        upstreams_mark_leaving(r->upstreams, clock_ms(), upstreams_server(r->upstreams, server->key));
    }
}

static inline void rig_on_liveness_changed(void* user, const server_t* server) {
    (void)server;
    ((rig_t*)user)->liveness_reports++;
}

static inline void rig_on_observations(void* user, const cw_quarantine_observation_t* observations, uint32_t count) {
    (void)observations;
    ((rig_t*)user)->observations_published += count;
}

static inline void rig_on_verdicts_changed(void* user) {
    exchanges_on_verdicts_changed(((rig_t*)user)->exchanges);
}

static inline void rig_on_server_alive(void* user, const server_t* server) {
    quarantine_on_server_alive(((rig_t*)user)->quarantine, server);
}

static inline int64_t rig_list_age_ms(void* user) {
    return ((rig_t*)user)->list_age_ms;
}

static inline void rig_on_stream_resolved(void* user, uint64_t stream) {
    exchanges_on_stream_resolved(((rig_t*)user)->exchanges, stream);
}

static inline void rig_on_reach_changed(void* user, pool_t* pool) {
    if (pool->reach.is_cut) {
        exchanges_on_pool_cut(((rig_t*)user)->exchanges, pool);
    }
}

static inline const cw_member_info_t* rig_choose_tunnel_host(void* user, const pool_t* pool, uint64_t key,
                                                             const uint64_t* excluded, uint32_t excluded_count) {
    (void)key;
    (void)excluded;
    rig_t* r = user;
    return r->choose_tunnel_host && !excluded_count ? r->choose_tunnel_host(r, pool) : NULL;
}

/* Breaks the path to the server: its direct address leads nowhere. */
static inline void rig_break_path(server_t* s) {
    cw_addr_parse("127.0.0.1:1", &s->address, NULL);
}

/* For choose_tunnel_host: restores the paths, so that the host of the tunnel, which shares the list of servers, can
   connect. */
static inline const cw_member_info_t* rig_restore_paths(rig_t* r, const pool_t* pool) {
    static cw_member_info_t host;
    for (server_t* s = pool->servers; s; s = s->next) {
        cw_addr_parse(s->published.address, &s->address, NULL);
    }
    host = (cw_member_info_t){.id = 2};
    cw_copy(host.peer, sizeof(host.peer), r->tunnel_host);
    return &host;
}

static inline void rig_on_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    rig_t* r = w->data;
    ck_abort_msg("timed out; arrivals %u, response so far: %s", r->arrival_count, cw_buffer_text(&r->response));
}

static inline void rig_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    rig_t* r = w->data;
    quarantine_tick(r->quarantine);
    for (pool_t* pool = upstreams_pools(r->upstreams); pool; pool = pool->next) {
        exchanges_on_slot_free(r->exchanges, pool);
    }
}

static inline void rig_set_catalog(rig_t* r, const char* document) {
    cw_error_t err = {0};
    cw_catalog_t* catalog = cw_catalog_parse(document, strlen(document), &err);
    ck_assert_msg(catalog != NULL, "%s", cw_error_text(&err).text);
    cw_catalog_release(r->catalog);
    r->catalog = catalog;
    upstreams_set_catalog(r->upstreams, catalog);
    exchanges_set_catalog(r->exchanges, catalog);
}

/* The servers "s0", "s1", ... of pool "p" in hall "a". leaving: one bit for each server. */
static inline void rig_make_list(const rig_t* r, cw_servers_t* list, uint32_t count, uint32_t leaving) {
    for (uint32_t i = 0; i < count; i++) {
        cw_server_t s = {.slots = 4, .leaving = (leaving >> i) & 1U};
        snprintf(s.id, sizeof(s.id), "s%u", i);
        cw_copy(s.address, sizeof(s.address), r->addresses[i]);
        cw_copy(s.pool, sizeof(s.pool), "p");
        cw_copy(s.hall, sizeof(s.hall), "a");
        cw_copy(s.version, sizeof(s.version), r->versions[i] ? r->versions[i] : "");
        cw_servers_add(list, &s);
    }
}

/* Publishes this list at time now_ms. Returns how many servers changed. */
static inline uint32_t rig_set_servers_at(rig_t* r, int64_t now_ms, uint32_t count, uint32_t leaving,
                                          bool after_outage) {
    cw_servers_t list = {0};
    rig_make_list(r, &list, count, leaving);
    uint32_t changes = upstreams_set_servers(r->upstreams, now_ms, &list, after_outage);
    cw_servers_free(&list);
    return changes;
}

static inline uint32_t rig_set_servers(rig_t* r, uint32_t count, uint32_t leaving) {
    return rig_set_servers_at(r, 1000, count, leaving, false);
}

/* document NULL: the gateway has no configuration, and its startup grace period is over after 1 ms. */
static inline rig_t* rig_setup(const char* document, uint32_t servers) {
    rig_t* r = calloc(1, sizeof(*r));
    cw_error_t err = {0};
    r->loop = ev_loop_new(0);
    r->log = (cw_log_t){.level = CW_LOG_DEBUG, .write = rig_ignore_line};
    r->caller.fd = -1;
    for (uint32_t i = 0; i < RIG_SERVERS; i++) {
        r->listen_fds[i] = cw_addr_listen("127.0.0.1:0", r->addresses[i], &err);
        ck_assert_int_ge(r->listen_fds[i], 0);
        ev_io_init(&r->accept_ios[i], rig_accept, r->listen_fds[i], EV_READ);
        r->accept_ios[i].data = r;
        ev_io_start(r->loop, &r->accept_ios[i]);
    }
    r->upstreams = upstreams_setup(&(upstreams_desc_t){.loop = r->loop,
                                                       .log = &r->log,
                                                       .dialect = &dialect_native,
                                                       .hall = cw_name_id("a"),
                                                       .host = 1,
                                                       .retry_ratio = 1,
                                                       .retry_slack = 100,
                                                       .retry_window_ms = 10000,
                                                       .max_conns = 100,
                                                       .list_age_ms = rig_list_age_ms,
                                                       .on_server_alive = rig_on_server_alive,
                                                       .on_reach_changed = rig_on_reach_changed,
                                                       .choose_tunnel_host = rig_choose_tunnel_host,
                                                       .tunnel_source = {.sin_family = AF_INET},
                                                       .cluster = "c",
                                                       .on_slot_free = rig_on_slot_free,
                                                       .user_data = r});
    r->quarantine = quarantine_setup(&(quarantine_desc_t){.log = &r->log,
                                                          .upstreams = r->upstreams,
                                                          .on_observations = rig_on_observations,
                                                          .on_verdicts_changed = rig_on_verdicts_changed,
                                                          .user_data = r});
    r->streams = streams_setup(&(streams_desc_t){.log = &r->log,
                                                 .upstreams = r->upstreams,
                                                 .list_age_ms = rig_list_age_ms,
                                                 .on_resolved = rig_on_stream_resolved,
                                                 .user_data = r});
    cw_handover_request_t request;
    streams_next_handover(r->streams, clock_ms() + CW_HANDOVER_DISCOVERY_MS, NULL, 0, &request); /* no other host */
    r->exchanges = exchanges_setup(&(exchanges_desc_t){.loop = r->loop,
                                                       .log = &r->log,
                                                       .dialect = &dialect_native,
                                                       .upstreams = r->upstreams,
                                                       .quarantine = r->quarantine,
                                                       .streams = r->streams,
                                                       .seed = 7,
                                                       .startup_grace_ms = document ? 0 : 1,
                                                       .on_load_changed = rig_on_load_changed,
                                                       .on_liveness_changed = rig_on_liveness_changed,
                                                       .user_data = r});
    if (document) {
        rig_set_catalog(r, document);
        rig_set_servers(r, servers, 0);
    }
    r->front = frontend_setup(&(frontend_desc_t){.loop = r->loop,
                                                 .address = "127.0.0.1:0",
                                                 .max_connections = 50,
                                                 .max_body_total = 1 << 20,
                                                 .retry_after_field = "Retry-After",
                                                 .limits = rig_limits,
                                                 .on_request = rig_on_request,
                                                 .on_caller_closed = rig_on_gone,
                                                 .on_drained = rig_on_drained,
                                                 .user_data = r},
                              &err);
    ck_assert_msg(r->front != NULL, "%s", cw_error_text(&err).text);
    ev_timer_init(&r->timeout_timer, rig_on_timeout, RIG_TIMEOUT_S, 0.0);
    ev_timer_init(&r->endless_timer, rig_on_endless, 0.0, RIG_ENDLESS_INTERVAL_S);
    r->endless_timer.data = r;
    ev_timer_init(&r->tick, rig_tick, 0.01, 0.01);
    r->timeout_timer.data = r->tick.data = r;
    ev_timer_start(r->loop, &r->tick);
    return r;
}

static inline void rig_script(rig_t* r, const rig_step_t* steps, uint32_t count) {
    memcpy(r->steps, steps, count * sizeof(*steps));
    r->step_count = count;
    r->next_step = r->arrival_count = 0;
}

/* -- the caller ----------------------------------------------------------- */

/* Whether the text is a complete response: by its length, or by its last chunk. */
static inline bool rig_is_response_complete(const char* text) {
    static const char version[] = "HTTP/1.1 ";
    const char* end = strstr(text, "\r\n\r\n");
    if (!end) {
        return false;
    }
    if (!cw_message_status_has_body((unsigned)strtoul(text + sizeof(version) - 1, NULL, 10))) {
        return true;
    }
    const char* length = strcasestr(text, "Content-Length: ");
    if (length && length < end) {
        return strlen(end + 4) >= strtoul(length + 16, NULL, 10);
    }
    return strstr(end, "\r\n0\r\n\r\n") != NULL;
}

static inline void rig_caller_data(void* owner, const char* data, size_t size) {
    rig_t* r = owner;
    cw_buffer_add(&r->response, data, size);
    if (r->stop_on_response && rig_is_response_complete(r->response.data)) {
        ev_break(r->loop, EVBREAK_ALL);
    }
}

static inline void rig_caller_end(void* owner, cw_stream_end_reason_t end) {
    (void)end;
    rig_t* r = owner;
    r->is_caller_open = false;
    ev_break(r->loop, EVBREAK_ALL);
}

static const cw_stream_handlers_t rig_caller_handlers = {.on_data = rig_caller_data, .on_end = rig_caller_end};

static inline void rig_run(rig_t* r) {
    ev_timer_stop(r->loop, &r->timeout_timer);
    ev_timer_set(&r->timeout_timer, RIG_TIMEOUT_S, 0.0);
    ev_timer_start(r->loop, &r->timeout_timer);
    ev_run(r->loop, 0);
    ev_timer_stop(r->loop, &r->timeout_timer);
}

static inline void rig_write(rig_t* r, const char* text) {
    if (!r->is_caller_open) {
        struct sockaddr_in address;
        cw_addr_parse(frontend_address(r->front), &address, NULL);
        ck_assert_int_eq(cw_stream_connect(&r->caller, r->loop, &address, &rig_caller_handlers, r), CW_OK);
        r->is_caller_open = true;
    }
    cw_buffer_free(&r->response);
    cw_stream_write(&r->caller, text, strlen(text));
    cw_stream_flush(&r->caller);
}

static inline void rig_ignore_data(void* owner, const char* data, size_t size) {
    (void)owner;
    (void)data;
    (void)size;
}

static inline void rig_ignore_end(void* owner, cw_stream_end_reason_t end) {
    (void)owner;
    (void)end;
}

/* Sends a request over another connection. Its response is ignored. */
static inline void rig_send_from_other_caller(rig_t* r, cw_stream_t* caller, const char* text) {
    static const cw_stream_handlers_t handlers = {.on_data = rig_ignore_data, .on_end = rig_ignore_end};
    struct sockaddr_in address;
    cw_addr_parse(frontend_address(r->front), &address, NULL);
    ck_assert_int_eq(cw_stream_connect(caller, r->loop, &address, &handlers, NULL), CW_OK);
    cw_stream_write(caller, text, strlen(text));
    cw_stream_flush(caller);
}

/* Sends a request on the caller's connection. Returns when the response is complete or the connection has ended. */
static inline const char* rig_call(rig_t* r, const char* text) {
    r->stop_on_response = true;
    rig_write(r, text);
    rig_run(r);
    return cw_buffer_text(&r->response);
}

/* Server "s0" counts as unreachable and is checked at once. Returns whether it counts as reachable afterwards. */
static inline bool rig_health_check(rig_t* r) {
    static const int64_t probe_interval_ms = 60000;
    const server_t* s = upstreams_server(r->upstreams, cw_name_id("s0"));
    cw_balance_set_unreachable(s->pool->balance, clock_ms(), s->key, true);
    upstreams_tick(r->upstreams, clock_ms() + probe_interval_ms);
    ck_assert(s->is_probing);
    while (s->is_probing) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    return cw_balance_unreachable_count(s->pool->balance) == 0;
}

static inline void rig_disconnect(rig_t* r) {
    cw_stream_close(&r->caller);
    r->is_caller_open = false;
}

static inline void rig_shutdown(rig_t* r) {
    exchanges_shutdown(r->exchanges);
    quarantine_shutdown(r->quarantine);
    streams_shutdown(r->streams);
    frontend_shutdown(r->front);
    upstreams_shutdown(r->upstreams);
    cw_catalog_release(r->catalog);
    cw_stream_close(&r->caller);
    cw_buffer_free(&r->response);
    for (uint32_t i = 0; i < r->conn_count; i++) {
        if (r->conns[i].is_open) {
            cw_stream_close(&r->conns[i].stream);
        }
        ev_timer_stop(r->loop, &r->conns[i].later_timer);
        cw_buffer_free(&r->conns[i].in);
        free(r->conns[i].repeat);
        free(r->conns[i].later);
    }
    ev_timer_stop(r->loop, &r->endless_timer);
    for (uint32_t i = 0; i < RIG_SERVERS; i++) {
        ev_io_stop(r->loop, &r->accept_ios[i]);
        close(r->listen_fds[i]);
    }
    ev_timer_stop(r->loop, &r->tick);
    ev_loop_destroy(r->loop);
    free(r);
}

#endif
