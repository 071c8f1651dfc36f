/*
    fake-source: stand-in for the configuration source of a gateway, which publishes the configuration document and the
    server list in chalkway's native format.

    GET  /catalog?after=R   the document (chalkway_catalog.h); an empty body when its revision is R
    GET  /servers           the server list (chalkway_servers.h)
    POST /admin/catalog     publishes the body as the document
    POST /admin/servers     publishes the body as the server list
                            A document that is older than the published one is ignored: posts over several connections
                            may arrive in another order.
    POST /admin/mode?down=0|1&slow_ms=N&lose=N&stale=0|1
                            down: every response is 503. slow_ms: responses are delayed by N ms.
                            lose: N of 100 requests are never answered.
                            stale: responses show what was published when stale was set.
*/
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

/* A response delayed by response_delay_ms. */
typedef struct delayed_t {
    cw_exchange_t* x; /* NULL: the caller closed the connection */
    ev_timer timer;
} delayed_t;

/* A published document, and its copy from when the source became stale. NULL: nothing published. */
typedef struct document_t {
    char* current;
    char* stale;
} document_t;

typedef struct source_standin_t {
    standin_t standin;
    document_t catalog, servers;
    bool is_down, is_stale;
    uint32_t response_delay_ms, lost_percent, call_count;
} source_standin_t;

static const char* visible_text(const source_standin_t* s, const document_t* d) {
    return s->is_stale ? d->stale : d->current;
}

static int64_t revision_of(const char* text, const char* field) {
    json_t* root = json_loads(text, 0, NULL);
    int64_t revision = json_integer_value(json_object_get(root, field));
    json_decref(root);
    return revision;
}

static void publish(document_t* d, const char* text, const char* revision_field) {
    if (d->current && revision_of(text, revision_field) < revision_of(d->current, revision_field)) {
        return;
    }
    free(d->current);
    d->current = strdup(text);
}

static void serve(source_standin_t* s, cw_exchange_t* x) {
    bool is_catalog = strcmp(cw_exchange_path(x), "/catalog") == 0;
    const char* text = visible_text(s, is_catalog ? &s->catalog : &s->servers);
    if (!text) {
        standin_reply_json(x, 404, "{}");
        return;
    }
    bool is_unchanged = is_catalog && revision_of(text, "revision") == (int64_t)standin_number_arg(x, "after", -1);
    standin_reply_json(x, 200, is_unchanged ? "" : text);
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

static void delay_response(source_standin_t* s, cw_exchange_t* x) {
    delayed_t* d = cw_alloc(NULL, 1, sizeof(*d));
    d->x = x;
    cw_exchange_set_data(x, d);
    ev_timer_init(&d->timer, on_delay, s->response_delay_ms / 1000.0, 0.0);
    d->timer.data = d;
    ev_timer_start(s->standin.loop, &d->timer);
}

static void set_mode(source_standin_t* s, cw_exchange_t* x) {
    bool is_stale = standin_number_arg(x, "stale", s->is_stale) != 0;
    document_t* documents[] = {&s->catalog, &s->servers};
    for (size_t i = 0; i < 2 && is_stale && !s->is_stale; i++) {
        free(documents[i]->stale);
        documents[i]->stale = documents[i]->current ? strdup(documents[i]->current) : NULL;
    }
    s->is_stale = is_stale;
    s->is_down = standin_number_arg(x, "down", s->is_down) != 0;
    s->response_delay_ms = (uint32_t)standin_number_arg(x, "slow_ms", s->response_delay_ms);
    s->lost_percent = (uint32_t)standin_number_arg(x, "lose", s->lost_percent);
    standin_reply_json(x, 200, "{}");
}

static void on_request(cw_exchange_t* x, void* user) {
    source_standin_t* s = user;
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/admin/catalog") == 0) {
        publish(&s->catalog, cw_exchange_body(x, NULL), "revision");
        standin_reply_json(x, 200, "{}");
    } else if (strcmp(path, "/admin/servers") == 0) {
        publish(&s->servers, cw_exchange_body(x, NULL), "at");
        standin_reply_json(x, 200, "{}");
    } else if (strcmp(path, "/admin/mode") == 0) {
        set_mode(s, x);
    } else if (s->is_down) {
        standin_reply_json(x, 503, "{}");
    } else if (++s->call_count % 100 < s->lost_percent) {
        cw_exchange_set_data(x, NULL); /* never answered */
    } else if (s->response_delay_ms) {
        delay_response(s, x);
    } else {
        serve(s, x);
    }
}

static void on_caller_closed(cw_exchange_t* x, void* user) {
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
    static const struct argp_option options[] = {
        {"address", 'a', "IP:PORT", 0, "listen address, default 127.0.0.1:0", 0}, {0}};
    const struct argp argp = {
        .options = options, .parser = parse_option, .doc = "Stand-in for the configuration source of a gateway."};
    const char* address = "127.0.0.1:0";
    argp_parse(&argp, argc, argv, 0, NULL, &address);
    static source_standin_t source;
    if (!standin_setup(&source.standin, &(cw_httpd_desc_t){.address = address,
                                                           .idle_timeout_s = 600,
                                                           .on_request = on_request,
                                                           .on_caller_closed = on_caller_closed,
                                                           .user_data = &source})) {
        return 1;
    }
    ev_set_userdata(source.standin.loop, &source);
    standin_run(&source.standin);
    return 0;
}
