/* Connections to one server, and the answers that come over them. */
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "upstream_parts.h"

#define MS_PER_S 1000.0
#define CONNECT_MIN_MS 100.0 /* a connection gets at least so long to come up */
#define CONNECT_MAX_MS 1000.0
#define CONNECT_FACTOR 10.0   /* times the usual time */
#define CONNECT_LEARN 0.1     /* weight of a new sample */
#define SILENT_MS 3000        /* a server that acknowledges nothing for so long is gone */
#define IDLE_DEFAULT_MS 15000 /* a connection whose server does not say how long it keeps it */
#define IDLE_MARGIN_MS 1000   /* closed so long before the server would */
#define ONCE_REST_SHARE 0.5   /* of that time: longer rested ones get no request that may not be sent twice */
#define LINKS_MIN 2           /* connections to one server that every daemon may have */
/* What comes over an older connection so long after a server was taken for ended proves that it lives: what it had sent
   before may be under way, or be sent again by its machine, for less. */
#define ALIVE_PROOF_MS 300

/* -- links: life ---------------------------------------------------------- */

/* The choice of a server prefers those with a connection at rest. */
static void tell_idle(server_t* s) {
    cw_balance_warm(s->pool->balance, s->key, s->idle != NULL);
    if (s->idle) {
        server_watch(s);
    }
}

static void idle_remove(link_t* l) {
    link_t** at = &l->server->idle;
    while (*at && *at != l) {
        at = &(*at)->next_idle;
    }
    *at = *at ? l->next_idle : NULL;
    tell_idle(l->server);
}

static void link_free(link_t* l) {
    server_t* s = l->server;
    upstreams_t* u = s->pool->upstreams;
    cw_stream_close(&l->stream);
    ev_timer_stop(u->desc.loop, &l->connect_timer);
    s->open--;
    u->links--;
    l->owner = NULL;
    l->dead = true;
    l->next_idle = u->dead;
    u->dead = l;
}

void link_free_dead(upstreams_t* u) {
    link_t* next = NULL;
    for (link_t* l = u->dead; l; l = next) {
        next = l->next_idle;
        cw_message_shutdown(&l->answer);
        free(l);
    }
    u->dead = NULL;
}

void link_drop(link_t* l) {
    if (!l->owner) {
        idle_remove(l);
    }
    link_free(l);
}

static void link_break(link_t* l, link_failure_t failure) {
    const link_handlers_t* handlers = l->handlers;
    void* owner = l->owner;
    link_drop(l);
    if (owner) {
        handlers->on_broken(owner, failure);
    }
}

/* -- links: answers ------------------------------------------------------- */

static bool answers_other_request(const link_t* l) {
    const char* id = cw_message_field(&l->answer, l->server->pool->upstreams->desc.dialect->fields.request_id);
    return id && strcmp(id, l->request_id) != 0;
}

static uint32_t keep_alive_ms(const cw_message_t* m) {
    const char* keep = cw_message_field(m, "Keep-Alive");
    const char* timeout = keep ? strstr(keep, "timeout=") : NULL;
    unsigned long s = timeout ? strtoul(timeout + strlen("timeout="), NULL, 10) : 0;
    return s && s < 86400 ? (uint32_t)(s * 1000) : 0;
}

static void on_head(void* owner) {
    link_t* l = owner;
    uint32_t keep_ms = keep_alive_ms(&l->answer);
    l->keep_ms = keep_ms ? keep_ms : l->keep_ms;
    l->unsound = l->unsound || !l->answer.keep_alive || l->answer.framing == CW_FRAMING_CLOSE;
    bool other = answers_other_request(l);
    server_hear(l->server, &l->answer, other ? l->begun_ms : l->sent_ms);
    l->skipping = l->answer.status / 100 == 1 || other;
    if (!l->skipping && l->owner) {
        l->handlers->on_head(l->owner, &l->answer);
    } else if (l->answer.status / 100 != 1) {
        l->unsound = true;
    }
}

static void on_body(void* owner, const char* data, size_t size) {
    link_t* l = owner;
    if (!l->skipping && l->owner) {
        l->handlers->on_body(l->owner, data, size);
    }
}

static const cw_message_handlers_t answer_handlers = {.on_head = on_head, .on_body = on_body};

/* The answer's end: true when more answers are to be read. */
static bool answer_ended(link_t* l, size_t left) {
    if (l->skipping) {
        l->skipping = false;
        cw_message_reset(&l->answer);
        return true;
    }
    l->unsound = l->unsound || left > 0 || cw_stream_unsent(&l->stream) > 0;
    l->handlers->on_complete(l->owner);
    return false;
}

/* -- links: the socket ---------------------------------------------------- */

/* Reads answers until the bytes are used up or the owner is done with the link. */
static void read_answers(link_t* l, const char* data, size_t size) {
    while (size && !l->dead) {
        size_t used = cw_message_read(&l->answer, data, size);
        if (l->dead) {
            return;
        }
        if (l->answer.state == CW_MESSAGE_BROKEN) {
            link_break(l, LINK_GARBLED);
            return;
        }
        data += used;
        size -= used;
        if (l->answer.state == CW_MESSAGE_COMPLETE && !answer_ended(l, size)) {
            return;
        }
    }
}

/* Notices that a server goes on which was taken for ended. */
static void hear(const link_t* l) {
    server_t* s = l->server;
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    bool proof = l->begun_ms < s->ended_ms && clock_ms() - s->ended_ms >= ALIVE_PROOF_MS;
    if (proof && desc->on_alive) {
        s->ended_ms = 0;
        desc->on_alive(desc->user_data, s);
    }
}

static void on_data(void* owner, const char* data, size_t size) {
    link_t* l = owner;
    if (l->server->ended_ms) {
        hear(l);
    }
    if (!l->owner || !l->sent) {
        link_break(l, LINK_GARBLED); /* bytes that nobody asked for */
        return;
    }
    read_answers(l, data, size);
}

static void on_end(void* owner, cw_stream_end_t end) {
    link_t* l = owner;
    if (l->owner && end == CW_STREAM_FINISHED && l->sent && !l->skipping) {
        cw_message_finish(&l->answer);
        if (l->answer.state == CW_MESSAGE_COMPLETE) {
            l->unsound = true;
            l->handlers->on_complete(l->owner);
            return;
        }
    }
    link_failure_t failure = end == CW_STREAM_REFUSED ? LINK_UNREACHABLE
                             : end == CW_STREAM_RESET ? LINK_RESET
                             : end == CW_STREAM_LOST  ? LINK_LOST
                                                      : LINK_CLOSED;
    link_break(l, failure);
}

static void on_open(void* owner) {
    link_t* l = owner;
    server_t* s = l->server;
    double took_ms = (double)(clock_ms() - l->begun_ms);
    s->connect_ms = s->connect_ms > 0 ? s->connect_ms + CONNECT_LEARN * (took_ms - s->connect_ms) : took_ms;
    ev_timer_stop(s->pool->upstreams->desc.loop, &l->connect_timer);
    cw_stream_watch_peer(&l->stream, SILENT_MS);
    l->handlers->on_open(l->owner);
}

static const cw_stream_handlers_t stream_handlers = {.on_open = on_open, .on_data = on_data, .on_end = on_end};

static void on_connect_timeout(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    link_break(w->data, LINK_UNREACHABLE);
}

static double connect_limit_ms(const server_t* s) {
    double limit = s->connect_ms * CONNECT_FACTOR;
    limit = limit < CONNECT_MIN_MS ? CONNECT_MIN_MS : limit;
    return limit > CONNECT_MAX_MS ? CONNECT_MAX_MS : limit;
}

static link_t* link_new(server_t* s, const link_handlers_t* handlers, void* owner) {
    upstreams_t* u = s->pool->upstreams;
    link_t* l = calloc(1, sizeof(*l));
    if (!l) {
        abort();
    }
    l->server = s;
    l->handlers = handlers;
    l->owner = owner;
    l->begun_ms = clock_ms();
    l->keep_ms = IDLE_DEFAULT_MS;
    if (cw_stream_connect(&l->stream, u->desc.loop, &s->address, &stream_handlers, l) != CW_OK) {
        free(l);
        return NULL;
    }
    cw_message_setup(&l->answer, CW_MESSAGE_RESPONSE, &answer_handlers, l);
    ev_timer_init(&l->connect_timer, on_connect_timeout, connect_limit_ms(s) / MS_PER_S, 0.0);
    l->connect_timer.data = l;
    ev_timer_start(u->desc.loop, &l->connect_timer);
    s->open++;
    u->links++;
    u->connects++;
    return l;
}

/* This daemon's part of the connections that a server takes. */
static uint32_t link_limit(const server_t* s) {
    uint32_t connections = s->pool->connections;
    if (!connections) {
        return UINT32_MAX;
    }
    uint32_t part = connections / (s->pool->upstreams->daemons ? s->pool->upstreams->daemons : 1);
    return part > LINKS_MIN ? part : LINKS_MIN;
}

static uint32_t rest_limit_ms(const link_t* l, bool once) {
    if (once) {
        return (uint32_t)(l->keep_ms * ONCE_REST_SHARE);
    }
    return l->keep_ms > 2 * IDLE_MARGIN_MS ? l->keep_ms - IDLE_MARGIN_MS : l->keep_ms / 2;
}

link_t* link_take(server_t* s, const link_handlers_t* handlers, void* owner, bool once) {
    upstreams_t* u = s->pool->upstreams;
    link_t* l = s->idle;
    if (l && clock_ms() - l->rested_ms <= rest_limit_ms(l, once)) {
        s->idle = l->next_idle;
        tell_idle(s);
        l->handlers = handlers;
        l->owner = owner;
        l->sent = false;
        return l;
    }
    if (l && s->open >= link_limit(s)) {
        link_drop(l); /* too long at rest: its place is needed */
    }
    if (s->open >= link_limit(s) || u->links >= u->desc.max_links) {
        return NULL;
    }
    return link_new(s, handlers, owner);
}

bool link_is_open(const link_t* l) {
    return !l->stream.connecting;
}

void link_send(link_t* l, const char* request_id, bool bodiless, const cw_buffer_t* head, const void* body,
               size_t size) {
    cw_copy(l->request_id, sizeof(l->request_id), request_id);
    cw_message_reset(&l->answer);
    l->answer.bodiless = bodiless;
    l->sent = true;
    l->sent_ms = clock_ms();
    cw_stream_write(&l->stream, head->data, head->size);
    cw_stream_write(&l->stream, body, size);
    cw_stream_flush(&l->stream);
}

void link_pause(link_t* l, bool paused) {
    cw_stream_pause(&l->stream, paused);
}

void link_release(link_t* l) {
    if (l->unsound || l->server->gone || l->stream.fd < 0) {
        link_drop(l);
        return;
    }
    cw_message_reset(&l->answer);
    l->owner = NULL;
    l->rested_ms = clock_ms();
    l->next_idle = l->server->idle;
    l->server->idle = l;
    tell_idle(l->server);
}

/* -- at rest -------------------------------------------------------------- */

void link_close_idle(server_t* s, int64_t now_ms, bool all) {
    for (link_t** at = &s->idle; *at;) {
        link_t* l = *at;
        if (all || now_ms - l->rested_ms > rest_limit_ms(l, false)) {
            *at = l->next_idle;
            link_free(l);
        } else {
            at = &l->next_idle;
        }
    }
    tell_idle(s);
}
