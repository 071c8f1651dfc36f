/*
    fake-source: stand-in of where a gateway's configuration and list of servers are published, in chalkway's own form.

    GET  /catalog?after=R   the document (chalkway_catalog.h), empty when its revision is R
    GET  /servers           the list of servers (chalkway_servers.h)
    POST /admin/catalog     publishes the body as the document
    POST /admin/servers     publishes the body as the list
    POST /admin/mode?down=0|1&slow_ms=N&lose=N&stale=0|1
                            down: 503. slow_ms: each answer waits. lose: of 100 answers so many never come.
                            stale: it answers with what was published when it became stale.
*/
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* An answer that waits. */
typedef struct delayed_t {
    cw_exchange_t* x; /* NULL: the caller left */
    ev_timer timer;
} delayed_t;

/* A published document and what a stale source still tells. */
typedef struct document_t {
    char* now;
    char* stale;
} document_t;

typedef struct source_standin_t {
    standin_t standin;
    document_t catalog, servers;
    bool down, stale;
    uint32_t slow_ms, lose, calls;
} source_standin_t;

static void publish(document_t* d, const char* text) {
    free(d->now);
    d->now = strdup(text);
}

static const char* told(const source_standin_t* s, const document_t* d) {
    return s->stale ? d->stale : d->now;
}

static int64_t revision_of(const char* text) {
    json_t* root = json_loads(text, 0, NULL);
    int64_t revision = json_integer_value(json_object_get(root, "revision"));
    json_decref(root);
    return revision;
}

static void serve(source_standin_t* s, cw_exchange_t* x) {
    bool catalog = strcmp(cw_exchange_path(x), "/catalog") == 0;
    const char* text = told(s, catalog ? &s->catalog : &s->servers);
    if (!text) {
        standin_reply(x, 404, "{}");
        return;
    }
    bool same = catalog && revision_of(text) == (int64_t)standin_arg(x, "after", -1);
    standin_reply(x, 200, same ? "" : text);
}

static void on_delay(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    delayed_t* d = w->data;
    source_standin_t* s = ev_userdata(loop);
    if (d->x) {
        cw_exchange_set_data(d->x, NULL);
        serve(s, d->x);
    }
    free(d);
}

static void delay(source_standin_t* s, cw_exchange_t* x) {
    delayed_t* d = cw_alloc(NULL, 1, sizeof(*d));
    d->x = x;
    cw_exchange_set_data(x, d);
    ev_timer_init(&d->timer, on_delay, s->slow_ms / 1000.0, 0.0);
    d->timer.data = d;
    ev_timer_start(s->standin.loop, &d->timer);
}

static void set_mode(source_standin_t* s, cw_exchange_t* x) {
    bool stale = standin_arg(x, "stale", s->stale) != 0;
    document_t* documents[] = {&s->catalog, &s->servers};
    for (size_t i = 0; i < 2 && stale && !s->stale; i++) {
        free(documents[i]->stale);
        documents[i]->stale = documents[i]->now ? strdup(documents[i]->now) : NULL;
    }
    s->stale = stale;
    s->down = standin_arg(x, "down", s->down) != 0;
    s->slow_ms = (uint32_t)standin_arg(x, "slow_ms", s->slow_ms);
    s->lose = (uint32_t)standin_arg(x, "lose", s->lose);
    standin_reply(x, 200, "{}");
}

static void on_request(cw_exchange_t* x, void* user) {
    source_standin_t* s = user;
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/admin/catalog") == 0) {
        publish(&s->catalog, cw_exchange_body(x, NULL));
        standin_reply(x, 200, "{}");
    } else if (strcmp(path, "/admin/servers") == 0) {
        publish(&s->servers, cw_exchange_body(x, NULL));
        standin_reply(x, 200, "{}");
    } else if (strcmp(path, "/admin/mode") == 0) {
        set_mode(s, x);
    } else if (s->down) {
        standin_reply(x, 503, "{}");
    } else if (++s->calls % 100 < s->lose) {
        cw_exchange_set_data(x, NULL); /* never answered */
    } else if (s->slow_ms) {
        delay(s, x);
    } else {
        serve(s, x);
    }
}

static void on_gone(cw_exchange_t* x, void* user) {
    (void)user;
    delayed_t* d = cw_exchange_data(x);
    if (d) {
        d->x = NULL;
    }
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    const char** address = state->input;
    if (key != 'a') {
        return ARGP_ERR_UNKNOWN;
    }
    *address = arg;
    return 0;
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {{"address", 'a', "IP:PORT", 0, "to listen on, default 127.0.0.1:0", 0},
                                                 {0}};
    const struct argp argp = {
        .options = options, .parser = parse_option, .doc = "Stand-in of a gateway's configuration source."};
    const char* address = "127.0.0.1:0";
    argp_parse(&argp, argc, argv, 0, NULL, &address);
    static source_standin_t source;
    if (!standin_setup(&source.standin, &(cw_httpd_desc_t){.address = address,
                                                           .idle_s = 600,
                                                           .on_request = on_request,
                                                           .on_gone = on_gone,
                                                           .user_data = &source})) {
        return 1;
    }
    ev_set_userdata(source.standin.loop, &source);
    standin_run(&source.standin);
    return 0;
}
